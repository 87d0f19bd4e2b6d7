#include "sharing/peer_table.h"

#include <algorithm>
#include <numeric>

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
constexpr std::size_t max_daemons_without_digests = 12;
/// Time between two digests of a representative, multiplied by the number of daemons in its zone, to which
/// the digests of other zones are forwarded.
constexpr base::duration digest_interval_per_daemon = 12ms;
constexpr base::duration min_digest_interval = 300ms;
constexpr base::duration max_digest_interval = 1s;
/// Missed digests after which their content is outdated.
constexpr int max_missed_digests = 4;
/// Missed beacons after which a peer is considered dead.
constexpr int max_missed_beacons = 5;
/// Missed beacons after which the lease holder is considered lost.
constexpr int max_missed_holder_beacons = 2;
/// Added to both timeouts for delayed beacons.
constexpr base::duration timeout_margin = 450ms;
/// Added to the time that news take through the fleet for delayed beacons.
constexpr base::duration news_margin = 100ms;

/// Links from this speed on carry the messages of a representative beside the requests of callers.
constexpr float ample_link_mbits = 50;

/// Order in which daemons are preferred as representatives and mirrors, equal on all daemons. Where the speed
/// of a link is unknown it counts as ample.
/// @tparam T type with `link_mbits`, `processor_share` and `vm`.
template <typename T>
bool ranks_higher(const T& a, const T& b) {
    const auto thin = [](const T& x) { return x.link_mbits > 0 && x.link_mbits < ample_link_mbits; };
    if (thin(a) != thin(b)) {
        return thin(b);
    }
    return a.processor_share != b.processor_share ? a.processor_share > b.processor_share : a.vm < b.vm;
}

}  // namespace

bool uses_zone_digests(std::size_t fleet_size) {
    return fleet_size > max_daemons_without_digests;
}

base::duration digest_interval(std::size_t zone_size) {
    return std::clamp<base::duration>(digest_interval_per_daemon * static_cast<int>(zone_size),
                                      min_digest_interval, max_digest_interval);
}

base::duration beacon_interval(std::size_t fleet_size) {
    return std::clamp<base::duration>(send_interval * static_cast<int>(fleet_size), min_beacon_interval,
                                      max_beacon_interval);
}

base::duration peer_timeout(std::size_t fleet_size) {
    return beacon_interval(fleet_size) * max_missed_beacons + timeout_margin;
}

base::duration news_delay(std::size_t fleet_size) {
    const auto one_way = uses_zone_digests(fleet_size) ? max_digest_interval : beacon_interval(fleet_size);
    return one_way * 2 + news_margin;
}

bool peer_table::is_live(const peer& p, base::time_point now) const {
    return now - p.received_at <= peer_timeout(known_count());
}

bool peer_table::has_digest(const peer& p, base::time_point now) {
    return p.digest.daemons > 0 &&
           now - p.digest.received_at <=
               digest_interval(p.digest.daemons) * max_missed_digests + timeout_margin;
}

base::duration peer_table::holder_timeout() const {
    // A lost holder must be replaced soon, while a premature timeout costs only one call to the store.
    return beacon_interval(known_count()) * max_missed_holder_beacons + timeout_margin;
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
    auto& p = peers_[b.vm];
    if (b.incarnation != p.last_beacon.incarnation) {
        p = {};
    }
    auto earlier_loads = std::move(p.last_beacon.services);
    p.last_beacon = b;
    if (b.services.empty()) {
        p.last_beacon.services = std::move(earlier_loads);  // a beacon with news has no loads
    } else {
        p.loads_received_at = now;
    }
    p.received_at = now;
    p.clock_offset = b.wall_time - wall;
    if (b.zone_daemons > 0) {
        p.digest = {b.zone_daemons, b.zone_lease_term, b.zone_lease_address, now};
    }
    unconfirmed_addresses_.erase(b.peer_address);
    return true;
}

bool peer_table::knows(const base::vm_id& vm, std::uint64_t incarnation) const {
    const auto it = peers_.find(vm);
    return it != peers_.end() && it->second.last_beacon.incarnation == incarnation;
}

void peer_table::add_address(const net::address& a, const base::zone_id& zone) {
    const bool known = std::any_of(peers_.begin(), peers_.end(),
                                   [&](const auto& p) { return p.second.last_beacon.peer_address == a; });
    if (known) {
        return;
    }
    auto& known_zone = unconfirmed_addresses_[a];
    if (!zone.empty()) {
        known_zone = zone;
    }
}

void peer_table::add_registered(const std::vector<registered_daemon>& daemons,
                                const base::zone_id& own_zone) {
    registered_count_ = daemons.size();
    registered_outside_zone_.clear();
    const bool digests = uses_zone_digests(daemons.size());
    for (const auto& d : daemons) {
        if (d.vm == self_) {
            continue;
        }
        if (d.zone.empty() || d.zone == own_zone || !digests) {
            add_address(d.peer_address, d.zone);
        }
        if (!d.zone.empty() && d.zone != own_zone) {
            registered_outside_zone_.push_back(d);
        }
    }
    if (digests) {
        std::erase_if(unconfirmed_addresses_,
                      [&](const auto& a) { return !a.second.empty() && a.second != own_zone; });
    }
    std::sort(registered_outside_zone_.begin(), registered_outside_zone_.end(),
              [](const auto& a, const auto& b) { return ranks_higher(a, b); });
}

std::vector<net::address> peer_table::unconfirmed_addresses(
    const std::function<bool(const base::zone_id&)>& selected) const {
    std::vector<net::address> out;
    for (const auto& [address, zone] : unconfirmed_addresses_) {
        if (selected(zone)) {
            out.push_back(address);
        }
    }
    return out;
}

std::size_t peer_table::fleet_size(const base::zone_id& own_zone, base::time_point now) const {
    std::size_t sum = known_count();
    std::map<base::zone_id, std::size_t> by_zone;
    std::map<base::zone_id, std::size_t> by_digest;
    for (const auto& [vm, p] : peers_) {
        ++by_zone[p.last_beacon.zone];
        if (has_digest(p, now)) {
            auto& n = by_digest[p.last_beacon.zone];
            n = std::max<std::size_t>(n, p.digest.daemons);
        }
    }
    for (const auto& [zone, n] : by_digest) {
        const auto known = by_zone[zone];
        sum += zone != own_zone && n > known ? n - known : 0;
    }
    return std::max(sum, registered_count_);
}

std::vector<net::address> peer_table::addresses() const {
    auto out = unconfirmed_addresses([](const auto& /*zone*/) { return true; });
    for (const auto& [vm, p] : peers_) {
        out.push_back(p.last_beacon.peer_address);
    }
    return out;
}

std::vector<net::address> peer_table::addresses_in_zone(const base::zone_id& zone) const {
    auto out = unconfirmed_addresses([&](const auto& z) { return z == zone; });
    for (const auto& [vm, p] : peers_) {
        if (p.last_beacon.zone == zone) {
            out.push_back(p.last_beacon.peer_address);
        }
    }
    return out;
}

std::vector<net::address> peer_table::addresses_outside_zone(const base::zone_id& zone) const {
    auto out = unconfirmed_addresses([&](const auto& z) { return z != zone; });
    for (const auto& [vm, p] : peers_) {
        if (p.last_beacon.zone != zone) {
            out.push_back(p.last_beacon.peer_address);
        }
    }
    return out;
}

std::vector<net::address> peer_table::unlocated_addresses() const {
    return unconfirmed_addresses([](const auto& z) { return z.empty(); });
}

std::vector<net::address> peer_table::representatives_outside_zone(const base::zone_id& zone,
                                                                   base::time_point now) const {
    std::map<base::zone_id, std::vector<const beacon*>> live;
    for (const auto& [vm, p] : peers_) {
        if (p.last_beacon.zone != zone && has_digest(p, now) && !p.last_beacon.stopping) {
            live[p.last_beacon.zone].push_back(&p.last_beacon);
        }
    }
    std::map<base::zone_id, std::vector<net::address>> chosen;
    for (auto& [other, list] : live) {
        std::sort(list.begin(), list.end(),
                  [](const auto* a, const auto* b) { return ranks_higher(*a, *b); });
        for (std::size_t i = 0; i < std::min(list.size(), representatives_per_zone); ++i) {
            chosen[other].push_back(list[i]->peer_address);
        }
    }
    for (const auto& d : registered_outside_zone_) {
        auto& list = chosen[d.zone];
        if (list.size() < representatives_per_zone &&
            std::find(list.begin(), list.end(), d.peer_address) == list.end()) {
            list.push_back(d.peer_address);
        }
    }
    std::vector<net::address> out;
    for (const auto& [other, list] : chosen) {
        out.insert(out.end(), list.begin(), list.end());
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
    std::vector<const beacon*> out;
    for (const auto* p : live_peers_in_zone(self.zone, now)) {
        if (!p->last_beacon.stopping && ranks_higher(p->last_beacon, self)) {
            out.push_back(&p->last_beacon);
        }
    }
    std::sort(out.begin(), out.end(), [&](const auto* a, const auto* b) { return ranks_higher(*a, *b); });
    return out;
}

std::vector<beacon> peer_table::store_mirrors(const beacon& self, std::size_t limit,
                                              base::time_point now) const {
    std::vector<beacon> out;
    const auto add = [&](const beacon& b) {
        if (!b.store_unreachable && !b.stopping) {
            out.push_back(b);
        }
    };
    add(self);
    for (const auto* p : live_peers_in_zone(self.zone, now)) {
        add(p->last_beacon);
    }
    std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return ranks_higher(a, b); });
    out.resize(std::min(out.size(), limit));
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
            scheduling::add_load(sum[id], load, now - p->loads_received_at);
        }
    }
    return sum;
}

void peer_table::expire(base::time_point now) {
    std::erase_if(peers_, [&](const auto& p) { return now - p.second.received_at > peer_expiry_time; });
}

std::size_t peer_table::live_count(base::time_point now) const {
    struct zone_state {
        std::size_t live = 0;
        std::uint32_t in_digest = 0;
        base::time_point digest_received_at;
    };
    std::map<base::zone_id, zone_state> zones;
    for (const auto& [vm, p] : peers_) {
        if (!is_live(p, now)) {
            continue;
        }
        auto& z = zones[p.last_beacon.zone];
        ++z.live;
        if (has_digest(p, now) && p.digest.received_at >= z.digest_received_at) {
            z.in_digest = p.digest.daemons;
            z.digest_received_at = p.digest.received_at;
        }
    }
    return std::accumulate(zones.begin(), zones.end(), std::size_t{1}, [](std::size_t sum, const auto& z) {
        return sum + std::max<std::size_t>(z.second.live, z.second.in_digest);
    });
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

std::optional<lease_location> peer_table::lease_holder(base::time_point now) const {
    const auto timeout = holder_timeout();
    std::optional<lease_location> out;
    const auto consider = [&](std::uint64_t term, const base::zone_id& zone, const net::address& address) {
        if (term != 0 && (!out || term > out->term)) {
            out = lease_location{term, zone, address};
        }
    };
    for (const auto& [vm, p] : peers_) {
        const auto& b = p.last_beacon;
        if (now - p.received_at <= timeout) {
            consider(b.lease_term, b.zone, b.peer_address);
        }
        if (has_digest(p, now)) {
            consider(p.digest.lease_term, b.zone, p.digest.lease_address);
        }
    }
    return out;
}

void peer_table::add_zone_summary(beacon& self, base::time_point now) const {
    self.zone_services = zone_loads(self, now);
    self.zone_daemons = static_cast<std::uint32_t>(live_peer_count_in_zone(self.zone, now) + 1);
    if (self.lease_term != 0) {
        self.zone_lease_term = self.lease_term;
        self.zone_lease_address = self.peer_address;
        return;
    }
    const auto timeout = holder_timeout();
    for (const auto* p : live_peers_in_zone(self.zone, now)) {
        // Only the holder's own beacon counts: representatives that repeated each other's digests would keep
        // a lost holder alive.
        if (p->last_beacon.lease_term > self.zone_lease_term && now - p->received_at <= timeout) {
            self.zone_lease_term = p->last_beacon.lease_term;
            self.zone_lease_address = p->last_beacon.peer_address;
        }
    }
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
