#include "sharing/peer_table.h"

#include <algorithm>

namespace chicorygap::sharing {

namespace {

using namespace std::chrono_literals;

/// Time without a beacon after which a peer is removed. Beacons are sent to a dead peer until then, so that
/// both sides rediscover each other after a network partition.
constexpr base::duration peer_expiry_time = 60s;
/// Request placement at high load depends on recent loads of the peers, which this interval keeps up to date.
constexpr base::duration min_beacon_interval = 150ms;
constexpr base::duration max_beacon_interval = 2s;
/// Average time between two sent beacons over all peers. About 70 beacons per second cost a few
/// thousandths of a core.
constexpr base::duration send_interval = 15ms;
/// Largest fleet in which each daemon sends its own loads to all others at about the shortest interval.
constexpr std::size_t max_daemons_without_zone_sums = 12;
/// Missed beacons after which a peer is considered dead.
constexpr int max_missed_beacons = 5;
/// Missed beacons after which the lease holder is considered lost.
constexpr int max_missed_holder_beacons = 2;
/// Added to both timeouts for delayed beacons.
constexpr base::duration timeout_margin = 450ms;

}  // namespace

bool aggregates_loads_by_zone(std::size_t fleet_size) {
    return fleet_size > max_daemons_without_zone_sums;
}

base::duration beacon_interval(std::size_t fleet_size) {
    return std::clamp<base::duration>(send_interval * static_cast<int>(fleet_size), min_beacon_interval,
                                      max_beacon_interval);
}

base::duration peer_timeout(std::size_t fleet_size) {
    return beacon_interval(fleet_size) * max_missed_beacons + timeout_margin;
}

bool peer_table::is_live(const peer& p, base::time_point now) const {
    return now - p.received_at <= peer_timeout(known_count());
}

bool peer_table::observe(const beacon& b, base::wall_time wall, base::time_point now) {
    if (b.vm == self_ || b.vm.empty()) {
        return false;
    }
    const auto it = peers_.find(b.vm);
    if (it != peers_.end()) {
        const auto& last = it->second.last_beacon;
        // The incarnation is the daemon's start time. After its clock was set back, a restarted daemon has a
        // smaller one, which is accepted once the earlier incarnation has timed out.
        const bool timed_out = !is_live(it->second, now);
        if (b.incarnation == last.incarnation ? b.sequence <= last.sequence
                                              : b.incarnation < last.incarnation && !timed_out) {
            return false;
        }
    }
    peers_.insert_or_assign(b.vm, peer{b, now, b.wall_time - wall});
    unconfirmed_addresses_.erase(b.peer_address);
    return true;
}

void peer_table::add_address(const net::address& a) {
    const bool known = std::any_of(peers_.begin(), peers_.end(),
                                   [&](const auto& p) { return p.second.last_beacon.peer_address == a; });
    if (!known) {
        unconfirmed_addresses_.insert(a);
    }
}

std::vector<net::address> peer_table::addresses() const {
    std::vector<net::address> out{unconfirmed_addresses_.begin(), unconfirmed_addresses_.end()};
    for (const auto& [vm, p] : peers_) {
        out.push_back(p.last_beacon.peer_address);
    }
    return out;
}

std::vector<net::address> peer_table::addresses_in_zone(const base::zone_id& zone) const {
    std::vector<net::address> out;
    for (const auto& [vm, p] : peers_) {
        if (p.last_beacon.zone == zone) {
            out.push_back(p.last_beacon.peer_address);
        }
    }
    return out;
}

std::vector<net::address> peer_table::addresses_outside_zone(const base::zone_id& zone) const {
    std::vector<net::address> out{unconfirmed_addresses_.begin(), unconfirmed_addresses_.end()};
    for (const auto& [vm, p] : peers_) {
        if (p.last_beacon.zone != zone) {
            out.push_back(p.last_beacon.peer_address);
        }
    }
    return out;
}

std::vector<const peer_table::peer*> peer_table::live_peers_in_zone(const base::zone_id& zone,
                                                                    base::time_point now) const {
    const auto in_zone = static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(), [&](const auto& p) { return p.second.last_beacon.zone == zone; }));
    std::vector<const peer*> out;
    for (const auto& [vm, p] : peers_) {
        if (p.last_beacon.zone == zone && now - p.received_at <= peer_timeout(in_zone + 1)) {
            out.push_back(&p);
        }
    }
    return out;
}

std::vector<const beacon*> peer_table::higher_ranked_in_zone(const beacon& self, base::time_point now) const {
    const auto ranks_higher = [](const beacon& a, const beacon& b) {
        return a.processor_share != b.processor_share ? a.processor_share > b.processor_share : a.vm < b.vm;
    };
    std::vector<const beacon*> out;
    for (const auto* p : live_peers_in_zone(self.zone, now)) {
        if (!p->last_beacon.stopping && ranks_higher(p->last_beacon, self)) {
            out.push_back(&p->last_beacon);
        }
    }
    std::sort(out.begin(), out.end(), [&](const auto* a, const auto* b) { return ranks_higher(*a, *b); });
    return out;
}

std::size_t peer_table::live_peer_count_in_zone(const base::zone_id& zone, base::time_point now) const {
    return live_peers_in_zone(zone, now).size();
}

service_loads peer_table::zone_loads(const beacon& self, base::time_point now) const {
    auto sum = self.services;
    for (auto& [id, load] : sum) {
        std::sort(load.servers.begin(), load.servers.end(),
                  [](const auto& a, const auto& b) { return a.server < b.server; });
    }
    for (const auto* p : live_peers_in_zone(self.zone, now)) {
        for (const auto& [id, load] : p->last_beacon.services) {
            scheduling::add_load(sum[id], load, now - p->received_at);
        }
    }
    return sum;
}

void peer_table::expire(base::time_point now) {
    std::erase_if(peers_, [&](const auto& p) { return now - p.second.received_at > peer_expiry_time; });
}

std::size_t peer_table::live_count(base::time_point now) const {
    return live_peers(now).size() + 1;
}

std::vector<const beacon*> peer_table::live_peers(base::time_point now) const {
    std::vector<const beacon*> out;
    for (const auto& [vm, p] : peers_) {
        if (is_live(p, now)) {
            out.push_back(&p.last_beacon);
        }
    }
    return out;
}

const beacon* peer_table::lease_holder(base::time_point now) const {
    // A lost holder must be replaced soon, while a premature timeout costs only one call to the store.
    const auto holder_timeout = beacon_interval(known_count()) * max_missed_holder_beacons + timeout_margin;
    for (const auto& [vm, p] : peers_) {
        if (p.last_beacon.lease_term != 0 && now - p.received_at <= holder_timeout) {
            return &p.last_beacon;
        }
    }
    return nullptr;
}

base::wall_time peer_table::median_wall_time(base::wall_time wall, base::time_point now) const {
    std::vector<std::chrono::milliseconds> offsets{std::chrono::milliseconds{0}};
    for (const auto& [vm, p] : peers_) {
        if (is_live(p, now)) {
            offsets.push_back(p.clock_offset);
        }
    }
    const auto median = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), median, offsets.end());
    return wall + *median;
}

}  // namespace chicorygap::sharing
