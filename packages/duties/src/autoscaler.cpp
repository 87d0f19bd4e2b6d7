#include "duties/autoscaler.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace chicorygap::duties {

namespace {

using namespace std::chrono_literals;

/// Share of the slots that the measured demand may occupy; the rest absorbs bursts while servers start.
constexpr double target_slot_utilisation = 0.35;
/// Share of the prefill speed that the measured demand may use. It is low because first tokens wait behind
/// the prefill of other prompts.
constexpr double target_prefill_utilisation = 0.35;
/// Desired servers per server found at startup, until enough load was observed: the first prompts need a full
/// prefill, since the KV caches hold no prefixes yet.
constexpr double cold_cache_factor = 1.5;
/// Window over which the maximum demand counts.
constexpr base::duration demand_window = 20s;
/// A new lease holder assumes that all servers that it finds are required, until this long after the first
/// load.
constexpr base::duration learning_time = 10s;
/// Limit on the learning phase since the first observation, for a service whose load starts late.
constexpr base::duration max_learning_time = 60s;
/// No requests are due for this long after the daemon first knew any servers: servers register one after the
/// other when the fleet starts or the store recovers, and a request based on the first few would release all
/// others.
constexpr base::duration registration_time = 4s;
/// Time before a request is repeated for which the platform had no servers.
constexpr base::duration unavailable_retry_delay = 1500ms;
/// Time before a request without a response is repeated.
constexpr base::duration failure_retry_delay = 700ms;
/// An accepted request is repeated if the number of servers still differs from it this long after the boot
/// time: the platform may have carried out a delayed older request after it.
constexpr base::duration startup_margin = 3s;
/// In a full zone, the reserved servers divided by this number are replaced by reclaimable ones at a time.
constexpr std::uint32_t replacement_divisor = 5;
/// One reserved server is kept in each of the cheapest zones, whose number is that of all zones divided by
/// this divisor, at least one. They serve while the reclaimable servers of several zones are lost.
constexpr std::size_t zones_per_reserved_server = 2;

}  // namespace

autoscaler::autoscaler(catalog::scaling_parameters parameters, std::uint32_t slots,
                       base::time_point servers_known_since)
    : parameters_{std::move(parameters)},
      slots_per_server_{std::max(1.0, static_cast<double>(slots))},
      servers_known_since_{servers_known_since} {}

void autoscaler::observe(const service_demand& d, const std::vector<catalog::backend_server>& servers,
                         base::time_point now) {
    double required = d.requests / (slots_per_server_ * target_slot_utilisation);
    if (d.prefill_tokens_per_s_per_server > 0) {
        required = std::max(required, d.prefill_tokens_per_s /
                                          (d.prefill_tokens_per_s_per_server * target_prefill_utilisation));
    }
    const auto reclaimable = static_cast<double>(
        std::count_if(servers.begin(), servers.end(), [](const auto& s) { return s.reclaimable; }));
    if (!first_observed_at_) {
        first_observed_at_ = now;
    }
    if (now - servers_known_since_ <= registration_time) {
        initial_reclaimable_ = std::max(initial_reclaimable_, reclaimable);
    }
    if (required > 0 && !first_load_at_) {
        first_load_at_ = now;
    }
    const bool learning =
        now - first_load_at_.value_or(now) < learning_time && now - *first_observed_at_ < max_learning_time;
    // Too little load was observed to judge the demand. The servers found at the start are assumed to be
    // required, but not the reclaimable ones requested since.
    const auto reserved = static_cast<double>(servers.size()) - reclaimable;
    assumed_required_ = learning ? reserved + std::min(reclaimable, initial_reclaimable_) : 0;
    // Reserved servers may be released during the learning phase; the maximum seen in it keeps counting.
    initial_servers_ = std::max(initial_servers_, assumed_required_);
    assumed_required_ = learning ? initial_servers_ : 0;
    requirement_history_.emplace_back(now, required);
    while (now - requirement_history_.front().first > demand_window) {
        requirement_history_.pop_front();
    }
    const auto previous_counts = std::exchange(active_counts_, {});
    for (const auto& s : servers) {
        if (!s.draining) {
            ++active_counts_[{s.zone, s.reclaimable}];
        }
    }
    for (const auto& [k, count] : previous_counts) {
        record_loss(k, count);
    }
    evacuated_zones_ = d.evacuated_zones;
    record_limits(d, servers);
    plan();
}

void autoscaler::record_limits(const service_demand& d, const std::vector<catalog::backend_server>& servers) {
    lacking_servers_.clear();
    const double rate_per_server = d.arrivals_per_s / std::max(1.0, required_servers());
    if (rate_per_server <= 0) {
        return;
    }
    for (const auto& s : servers) {
        const auto it = d.server_limits.find(s.id);
        if (!s.draining && it != d.server_limits.end()) {
            lacking_servers_[s.zone] += std::max(0.0, 1 - it->second / rate_per_server);
        }
    }
}

// A request reduces the number of servers to the requested one at most. Fewer servers were reclaimed or have
// failed, and are replaced at once rather than when the last request is overdue.
void autoscaler::record_loss(const pool_key& k, std::uint32_t previous_count) {
    const auto count = active_count(k.first, k.second);
    auto& s = pools_[k];
    s.lost_servers = s.lost_servers || (s.has_accepted && count < previous_count && count < s.accepted);
}

double autoscaler::required_servers() const {
    double maximum = assumed_required_;
    for (const auto& [at, value] : requirement_history_) {
        maximum = std::max(maximum, value);
    }
    return maximum;
}

std::uint32_t autoscaler::active_count(const base::zone_id& zone, bool reclaimable) const {
    const auto it = active_counts_.find({zone, reclaimable});
    return it == active_counts_.end() ? 0 : it->second;
}

std::vector<std::pair<double, base::zone_id>> autoscaler::usable_zones() const {
    std::vector<std::pair<double, base::zone_id>> out;
    for (const auto& [zone, price] : parameters_.zone_prices) {
        if (!evacuated_zones_.contains(zone)) {
            out.emplace_back(price, zone);
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

std::set<base::zone_id> autoscaler::zones_with_reserved_server() const {
    auto by_price = usable_zones();
    by_price.resize(
        std::min(by_price.size(), std::max<std::size_t>(1, by_price.size() / zones_per_reserved_server)));
    std::set<base::zone_id> out;
    for (const auto& [price, zone] : by_price) {
        out.insert(zone);
    }
    return out;
}

void autoscaler::plan() {
    const auto usable = usable_zones();
    const auto zones = static_cast<double>(usable.size());
    if (zones == 0) {
        return;
    }
    const bool use_reclaimable =
        parameters_.reclaimable_price_ratio && *parameters_.reclaimable_price_ratio < 1;
    // The other zones must carry the demand if one zone loses all its reclaimable servers.
    const double per_zone = std::max(required_servers(), assumed_required_ * cold_cache_factor) /
                            (use_reclaimable && zones > 1 ? zones - 1 : zones);
    const auto max_servers = parameters_.max_servers_per_zone;
    const auto reserved_zones = zones_with_reserved_server();
    for (const auto& [price, zone] : usable) {
        const auto limited = lacking_servers_.find(zone);
        const double lacking = limited == lacking_servers_.end() ? 0 : limited->second;
        const auto desired =
            std::clamp<std::uint32_t>(static_cast<std::uint32_t>(std::ceil(per_zone + lacking)) + 1,
                                      parameters_.min_servers_per_zone, max_servers);
        const auto active_reserved = active_count(zone, false);
        const auto active_reclaimable = active_count(zone, true);
        if (!use_reclaimable) {
            pools_[{zone, false}].desired = desired;
            continue;
        }
        const std::uint32_t reserved_floor = reserved_zones.contains(zone) ? 1 : 0;
        const auto reclaimable_target = desired > reserved_floor ? desired - reserved_floor : 0;
        // Reserved servers are released as reclaimable ones start.
        const auto servers_for_zone_load =
            static_cast<std::uint32_t>(std::ceil(required_servers() / zones + lacking)) + 1;
        const auto missing_reclaimable =
            std::min(reclaimable_target, servers_for_zone_load) > active_reclaimable
                ? std::min(reclaimable_target, servers_for_zone_load) - active_reclaimable
                : 0;
        // While the platform has no reclaimable servers in the zone, reserved ones are requested instead.
        const bool substitute = pools_[{zone, true}].unavailable;
        auto reserved_target = substitute ? reserved_floor + missing_reclaimable
                                          : std::min(active_reserved, reserved_floor + missing_reclaimable);
        if (!substitute && active_reserved + active_reclaimable >= max_servers &&
            reserved_target > reserved_floor) {
            // Reserved and reclaimable servers share the zone's limit; the next reclaimable ones need
            // room below it.
            reserved_target -= std::min(reserved_target - reserved_floor,
                                        std::max(1U, reserved_target / replacement_divisor));
        }
        // The limits of a zone hold for both kinds together, and at least one server of a zone is wanted.
        pools_[{zone, false}].desired = std::min(std::max(reserved_floor, reserved_target), max_servers);
        pools_[{zone, true}].desired =
            std::min(reclaimable_target, max_servers - std::min(max_servers, pools_[{zone, false}].desired));
    }
}

std::vector<capacity_request> autoscaler::due_capacity_requests(base::time_point now) {
    std::vector<capacity_request> out;
    if (!first_observed_at_ || now - servers_known_since_ < registration_time) {
        return out;
    }
    for (auto& [k, s] : pools_) {
        if (s.in_flight || now < s.retry_at) {
            continue;
        }
        const auto& [zone, reclaimable] = k;
        if (evacuated_zones_.contains(zone)) {
            continue;
        }
        const bool overdue = s.has_accepted && now - s.accepted_at > parameters_.boot_time + startup_margin &&
                             active_count(zone, reclaimable) != s.accepted;
        // No first request is sent for a pool that is empty and not needed.
        const bool idle = !s.has_accepted && s.desired == 0 && active_count(zone, reclaimable) == 0;
        if (idle || (s.has_accepted && s.accepted == s.desired && !overdue && !s.lost_servers)) {
            continue;
        }
        s.in_flight = true;
        s.lost_servers = false;
        out.push_back({zone, reclaimable, s.desired});
    }
    return out;
}

void autoscaler::capacity_request_finished(const capacity_request& request, capacity_result result,
                                           base::time_point now) {
    auto& s = pools_[{request.zone, request.reclaimable}];
    s.in_flight = false;
    switch (result) {
        case capacity_result::accepted:
            s.has_accepted = true;
            s.unavailable = false;
            s.accepted = request.count;
            s.accepted_at = now;
            s.retry_at = {};
            return;
        case capacity_result::unavailable:
            s.unavailable = true;
            s.retry_at = now + unavailable_retry_delay;
            return;
        case capacity_result::failed:
            s.retry_at = now + failure_retry_delay;
            return;
    }
}

}  // namespace chicorygap::duties
