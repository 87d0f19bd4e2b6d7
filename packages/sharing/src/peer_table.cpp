#include "sharing/peer_table.h"

#include <algorithm>

namespace chicorygap::sharing {

namespace {

using namespace std::chrono_literals;

/// Beacons still go to a daemon that was not heard for this long, so that both find each other after a cut.
constexpr base::duration forget_time = 60s;
/// Placement at high load depends on the age of what peers said.
constexpr base::duration shortest_interval = 150ms;
constexpr base::duration longest_interval = 2s;
/// Time that one message may take up: about seventy a second are a few parts in a thousand of a core.
constexpr base::duration time_per_message = 15ms;
/// Up to so many daemons each one hears all others at the shortest interval.
constexpr std::size_t most_daemons_in_full = 12;
constexpr int silent_intervals = 5;
/// The same for the holder of the lease.
constexpr int holder_intervals = 2;
constexpr base::duration silent_margin = 450ms;

}  // namespace

bool aggregates_loads_by_zone(std::size_t daemons) {
    return daemons > most_daemons_in_full;
}

base::duration beacon_interval(std::size_t daemons) {
    return std::clamp<base::duration>(time_per_message * static_cast<int>(daemons), shortest_interval,
                                      longest_interval);
}

base::duration peer_timeout(std::size_t daemons) {
    return beacon_interval(daemons) * silent_intervals + silent_margin;
}

bool peer_table::alive(const peer& p, base::time_point now) const {
    return now - p.heard <= peer_timeout(known_count());
}

bool peer_table::observe(const beacon& b, base::wall_time wall, base::time_point now) {
    if (b.vm == self_ || b.vm.empty()) {
        return false;
    }
    const auto it = peers_.find(b.vm);
    if (it != peers_.end()) {
        const auto& last = it->second.last;
        // The start time of a daemon is its incarnation; a clock that was set back must not hide it for long.
        const bool silent = !alive(it->second, now);
        if (b.incarnation == last.incarnation ? b.sequence <= last.sequence
                                              : b.incarnation < last.incarnation && !silent) {
            return false;
        }
    }
    peers_.insert_or_assign(b.vm, peer{b, now, b.wall_time - wall});
    listed_.erase(b.peer_address);
    return true;
}

void peer_table::add_address(const net::address& a) {
    const bool known = std::any_of(peers_.begin(), peers_.end(),
                                   [&](const auto& p) { return p.second.last.peer_address == a; });
    if (!known) {
        listed_.insert(a);
    }
}

std::vector<net::address> peer_table::addresses() const {
    std::vector<net::address> out{listed_.begin(), listed_.end()};
    for (const auto& [vm, p] : peers_) {
        out.push_back(p.last.peer_address);
    }
    return out;
}

std::vector<net::address> peer_table::addresses_in_zone(const base::zone_id& zone) const {
    std::vector<net::address> out;
    for (const auto& [vm, p] : peers_) {
        if (p.last.zone == zone) {
            out.push_back(p.last.peer_address);
        }
    }
    return out;
}

std::vector<net::address> peer_table::addresses_outside_zone(const base::zone_id& zone) const {
    std::vector<net::address> out{listed_.begin(), listed_.end()};
    for (const auto& [vm, p] : peers_) {
        if (p.last.zone != zone) {
            out.push_back(p.last.peer_address);
        }
    }
    return out;
}

std::vector<const peer_table::peer*> peer_table::live_in(const base::zone_id& zone,
                                                         base::time_point now) const {
    const auto in_zone = static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(), [&](const auto& p) { return p.second.last.zone == zone; }));
    std::vector<const peer*> out;
    for (const auto& [vm, p] : peers_) {
        if (p.last.zone == zone && now - p.heard <= peer_timeout(in_zone + 1)) {
            out.push_back(&p);
        }
    }
    return out;
}

std::vector<const beacon*> peer_table::higher_ranked_in_zone(const beacon& self, base::time_point now) const {
    const auto before = [](const beacon& a, const beacon& b) {
        return a.processor_share != b.processor_share ? a.processor_share > b.processor_share : a.vm < b.vm;
    };
    std::vector<const beacon*> out;
    for (const auto* p : live_in(self.zone, now)) {
        if (!p->last.stopping && before(p->last, self)) {
            out.push_back(&p->last);
        }
    }
    std::sort(out.begin(), out.end(), [&](const auto* a, const auto* b) { return before(*a, *b); });
    return out;
}

std::size_t peer_table::live_peer_count_in_zone(const base::zone_id& zone, base::time_point now) const {
    return live_in(zone, now).size();
}

service_loads peer_table::zone_loads(const beacon& self, base::time_point now) const {
    auto sum = self.services;
    for (auto& [id, load] : sum) {
        std::sort(load.servers.begin(), load.servers.end(),
                  [](const auto& a, const auto& b) { return a.server < b.server; });
    }
    for (const auto* p : live_in(self.zone, now)) {
        for (const auto& [id, load] : p->last.services) {
            scheduling::add_load(sum[id], load, now - p->heard);
        }
    }
    return sum;
}

void peer_table::expire(base::time_point now) {
    std::erase_if(peers_, [&](const auto& p) { return now - p.second.heard > forget_time; });
}

std::size_t peer_table::live_count(base::time_point now) const {
    return live_peers(now).size() + 1;
}

std::vector<const beacon*> peer_table::live_peers(base::time_point now) const {
    std::vector<const beacon*> out;
    for (const auto& [vm, p] : peers_) {
        if (alive(p, now)) {
            out.push_back(&p.last);
        }
    }
    return out;
}

const beacon* peer_table::lease_holder(base::time_point now) const {
    // A holder that was lost must be replaced soon; asking the store once too often costs a call.
    const auto patience = beacon_interval(known_count()) * holder_intervals + silent_margin;
    for (const auto& [vm, p] : peers_) {
        if (p.last.lease_term != 0 && now - p.heard <= patience) {
            return &p.last;
        }
    }
    return nullptr;
}

base::wall_time peer_table::median_wall_time(base::wall_time wall, base::time_point now) const {
    std::vector<std::chrono::milliseconds> offsets{std::chrono::milliseconds{0}};
    for (const auto& [vm, p] : peers_) {
        if (alive(p, now)) {
            offsets.push_back(p.offset);
        }
    }
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    return wall + *middle;
}

}  // namespace chicorygap::sharing
