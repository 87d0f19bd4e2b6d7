#include "backpressure/demand_table.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <set>
#include <string>
#include <utility>

namespace chicorygap::backpressure {

namespace {

using namespace std::chrono_literals;

/// Time over which the demand of a daemon is averaged. A shorter one would move shares with single requests.
constexpr base::duration demand_time = 4s;
/// A silent peer keeps its shares for this time. A partition between daemons is expected to end before.
constexpr base::duration silent_peer_memory = 60s;
/// A silent peer keeps its place among the daemons that send to cold servers for this time. Three parts of a
/// fleet that do not hear each other for longer exceed the bound of a cold server; a daemon that is lost
/// without having announced its end costs its part of them for this time.
constexpr base::duration member_memory = 10min;
/// Daemons that send to a server besides one for each request per second of its limit. Each of them may hold
/// one unused start, so that their number bounds the burst at the server.
constexpr std::size_t min_sending_daemons = 3;
/// Lower bound of the demand of a daemon relative to the mean, so that one without recent requests can start
/// some.
constexpr double min_relative_demand = 0.1;

std::uint64_t hash_of(const std::string& text) {
    return XXH64(text.data(), text.size(), 0);
}

std::uint64_t rendezvous_weight(server_key server, std::uint64_t member) {
    const std::array<std::uint64_t, 2> key{server, member};
    return XXH64(key.data(), sizeof(key), 0);
}

}  // namespace

demand_table::demand_table(base::vm_id self, base::zone_id zone, base::time_point started_at)
    : self_{std::move(self)},
      zone_{std::move(zone)},
      self_hash_{hash_of(self_.str())},
      started_at_{started_at} {}

void demand_table::record_arrival(const base::service_id& service, base::time_point now) {
    arrivals_.try_emplace(service, demand_time).first->second.add(1, now);
}

void demand_table::observe_peer(const base::vm_id& vm, const base::zone_id& zone,
                                const std::map<base::service_id, double>& demands, bool stopping,
                                base::time_point now) {
    auto& p = peers_[vm];
    if (p.vm_hash == 0) {
        p.vm_hash = hash_of(vm.str());
    }
    p.zone = zone;
    p.stopping = stopping;
    p.heard_at = now;
    if (!demands.empty()) {
        p.demands = demands;
    }
    members_[vm] = {.zone = zone, .vm_hash = p.vm_hash, .stopping = stopping, .heard_at = now};
}

void demand_table::expire(base::time_point now) {
    std::erase_if(peers_, [&](const auto& entry) {
        const auto& p = entry.second;
        return now - p.heard_at > (p.stopping ? parameters_.silence_time : silent_peer_memory);
    });
    std::erase_if(members_, [&](const auto& entry) {
        const auto& m = entry.second;
        return now - m.heard_at > (m.stopping ? parameters_.silence_time : member_memory);
    });
}

std::map<base::service_id, double> demand_table::local_demands(base::time_point now) const {
    std::map<base::service_id, double> out;
    for (const auto& [service, rate] : arrivals_) {
        out.emplace(service, rate.per_second(now));
    }
    return out;
}

double demand_table::known_demand(const base::service_id& service, base::time_point now) const {
    const auto own = arrivals_.find(service);
    double sum = own == arrivals_.end() ? 0 : own->second.per_second(now);
    for (const auto& [vm, p] : peers_) {
        const auto it = p.demands.find(service);
        sum += it != p.demands.end() && now - p.heard_at <= parameters_.silence_time ? it->second : 0;
    }
    return sum;
}

std::size_t demand_table::known_demand_daemons(base::time_point now) const {
    return 1 + static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
               return !entry.second.demands.empty() &&
                      now - entry.second.heard_at <= parameters_.silence_time;
           }));
}

template <typename Daemons>
base::zone_id demand_table::sending_zone(server_key server, const base::zone_id& server_zone,
                                         const Daemons& others) const {
    const bool has_daemons =
        server_zone == zone_ || std::any_of(others.begin(), others.end(),
                                            [&](const auto& p) { return p.second.zone == server_zone; });
    if (has_daemons) {
        return server_zone;
    }
    std::set<base::zone_id> zones{zone_};
    for (const auto& [vm, p] : others) {
        zones.insert(p.zone);
    }
    return *std::max_element(zones.begin(), zones.end(), [server](const auto& a, const auto& b) {
        return rendezvous_weight(server, hash_of(a.str())) < rendezvous_weight(server, hash_of(b.str()));
    });
}

std::vector<demand_table::candidate> demand_table::candidates(server_key server,
                                                              const base::service_id& service,
                                                              const base::zone_id& server_zone,
                                                              base::time_point now) const {
    const auto zone = parameters_.within_zones ? sending_zone(server, server_zone, peers_) : base::zone_id{};
    const auto sends = [&](const base::zone_id& z) { return !parameters_.within_zones || z == zone; };
    std::vector<candidate> out;
    if (sends(zone_)) {
        const auto it = arrivals_.find(service);
        out.push_back({.weight = rendezvous_weight(server, self_hash_),
                       .demand = it == arrivals_.end() ? 0 : it->second.per_second(now),
                       .self = true});
    }
    for (const auto& [vm, p] : peers_) {
        if (sends(p.zone)) {
            const auto it = p.demands.find(service);
            out.push_back({.weight = rendezvous_weight(server, p.vm_hash),
                           .demand = it == p.demands.end() ? 0 : it->second,
                           .silent = now - p.heard_at > parameters_.silence_time});
        }
    }
    return out;
}

double demand_table::mean_demand(const std::vector<candidate>& list) {
    double sum = 0;
    for (const auto& c : list) {
        sum += c.demand;
    }
    return list.empty() ? 0 : sum / static_cast<double>(list.size());
}

limit_share demand_table::share(server_key server, const base::service_id& service,
                                const base::zone_id& server_zone, double rate, base::time_point now) const {
    auto list = candidates(server, service, server_zone, now);
    // A daemon that was started within a partition has never heard of those beyond it.
    const bool unheard =
        !list.empty() && list.size() < parameters_.known_daemons && now - started_at_ <= silent_peer_memory;
    const double limit = std::min(rate, static_cast<double>(list.size()));
    const auto senders = std::min(list.size(), min_sending_daemons + static_cast<std::size_t>(limit));
    const double idle_demand = min_relative_demand * mean_demand(list);
    // Daemons without requests are selected last: what they do not use would be lost.
    std::nth_element(list.begin(), list.begin() + static_cast<std::ptrdiff_t>(senders), list.end(),
                     [idle_demand](const auto& a, const auto& b) {
                         const bool a_idle = a.demand < idle_demand;
                         const bool b_idle = b.demand < idle_demand;
                         return a_idle != b_idle ? b_idle : a.weight > b.weight;
                     });
    list.resize(senders);
    const double mean = mean_demand(list);
    limit_share out{.complete = !unheard,
                    .daemons = unheard ? std::max(senders, parameters_.known_daemons) : senders};
    double own = 0;
    double sum = 0;
    for (const auto& c : list) {
        // Without any demand, the division is equal.
        const double demand = mean > 0 ? std::max(c.demand, min_relative_demand * mean) : 1;
        sum += demand;
        own += c.self ? demand : 0;
        out.complete = out.complete && !c.silent;
    }
    out.fraction = sum > 0 ? own / sum : 0;
    return out;
}

sender_place demand_table::place(server_key server, const base::zone_id& server_zone,
                                 base::time_point now) const {
    const bool young = now - started_at_ <= silent_peer_memory;
    if (parameters_.within_zones) {
        // A daemon that was started within a partition has not heard of the zones beyond it.
        const bool zone_may_have_daemons = server_zone != zone_ && young;
        if (zone_may_have_daemons || sending_zone(server, server_zone, members_) != zone_) {
            return {};
        }
    }
    const auto own = rendezvous_weight(server, self_hash_);
    std::size_t daemons = 1;
    std::size_t before = 0;
    for (const auto& [vm, m] : members_) {
        if (!parameters_.within_zones || m.zone == zone_) {
            ++daemons;
            before += rendezvous_weight(server, m.vm_hash) > own ? 1 : 0;
        }
    }
    const auto expected = young ? parameters_.registered_daemons.value_or(parameters_.known_daemons) : 0;
    const auto unheard = expected > daemons ? expected - daemons : 0;
    return {.rank = before + unheard, .daemons = daemons + unheard};
}

}  // namespace chicorygap::backpressure
