#include "zone_loads.h"

#include "peer_loads.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <unordered_map>

namespace chicorygap::scheduling {

namespace {

/// Fraction of a server's KV cache that is allocated, as in the placement.
constexpr double usable_kv_cache_fraction = 0.92;
/// Expected delay of the first event by each used slot of a server of a plain service, as in the placement.
constexpr double used_slot_cost_ms = 4;
/// With fewer measurements of a server the speed of the whole fleet is used.
constexpr int min_speed_samples = 4;

bool takes_requests(const server_state& s, base::time_point now) {
    return s.takes_requests() && !s.health.ejected(now);
}

/// @return requests that the server can hold. More than its slots may run there, when several daemons used
/// the same free slot; these queue at the server and make no place.
double places(const server_state& s, const zone_load_inputs& in, base::time_point now) {
    const double running = s.running();
    const double slots = in.engine ? std::min(in.engine->slots, s.info.slots) : s.info.slots;
    if (s.has_queue(now) || running >= slots) {
        return std::min(running, slots);
    }
    double free = slots - running;
    if (in.engine && running > 0 && s.kv_cache_tokens() > 0) {
        // Requests of average size are assumed.
        const auto used = static_cast<double>(s.kv_cache_tokens());
        const double usable = usable_kv_cache_fraction * static_cast<double>(in.engine->kv_capacity_tokens);
        free = std::min(free, (usable - used) / (used / running));
    }
    return running + std::max(free, 0.0);
}

double first_event_ms(const server_state& s, const zone_load_inputs& in) {
    if (!in.engine) {
        return used_slot_cost_ms * s.running();
    }
    const double speed = s.prefill_tokens_per_ms.samples() >= min_speed_samples
                             ? s.prefill_tokens_per_ms.value()
                             : in.prefill_tokens_per_ms;
    return (static_cast<double>(s.pending_prefill_tokens()) + in.mean_prefill_tokens) / speed;
}

/// Sums by zone while they are made.
class zone_sums {
public:
    zone_sums(const std::vector<server_state*>& servers, const zone_load_inputs& in, base::time_point now)
        : home_{in.home} {
        of(home_);
        for (const auto* s : servers) {
            if (takes_requests(*s, now)) {
                add_server(*s, in, now);
            }
        }
    }

    /// @param zone zone of the daemons that the report is from.
    void add_report(const base::zone_id& zone, const load_report& r) {
        auto& z = of(zone);
        ++z.reports;
        z.waiting += r.waiting;
        z.demand += r.waiting;
        for (const auto& l : r.servers) {
            const auto it = zone_of_server_.find(l.server);
            if (it == zone_of_server_.end()) {
                continue;
            }
            z.demand += l.running;
            of(it->second).running_from_home += zone == home_ ? l.running : 0;
        }
    }

    [[nodiscard]] std::vector<zone_load> take() {
        std::vector<zone_load> out;
        for (auto& [zone, z] : zones_) {
            if (const auto n = server_counts_[zone]; n > 0) {
                z.first_event /= n;
            }
            out.push_back(z);
        }
        return out;
    }

private:
    zone_load& of(const base::zone_id& zone) {
        auto& z = zones_[zone];
        z.zone = zone;
        return z;
    }

    void add_server(const server_state& s, const zone_load_inputs& in, base::time_point now) {
        auto& z = of(s.info.zone);
        z.running += s.running();
        z.places += places(s, in, now);
        z.first_event += std::chrono::duration_cast<base::duration>(
            std::chrono::duration<double, std::milli>{first_event_ms(s, in)});
        ++server_counts_[s.info.zone];
        zone_of_server_.emplace(s.info.id, s.info.zone);
    }

    base::zone_id home_;
    std::map<base::zone_id, zone_load> zones_;
    std::map<base::zone_id, int> server_counts_;
    std::unordered_map<base::backend_server_id, base::zone_id> zone_of_server_;
};

}  // namespace

std::vector<zone_load> sum_zone_loads(const std::vector<server_state*>& servers, const zone_load_inputs& in,
                                      base::time_point now) {
    zone_sums sums{servers, in, now};
    sums.add_report(in.home, in.local);
    in.peers.for_each([&](const base::zone_id& zone, const load_report& r) {
        if (!zone.empty()) {
            sums.add_report(zone, r);
        }
    });
    return sums.take();
}

}  // namespace chicorygap::scheduling
