#include "duties/autoscaler.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace chicorygap::duties {

namespace {

using namespace std::chrono_literals;

/// Part of the slots that the usual load may take; the rest is for bursts while servers start.
constexpr double slot_utilisation = 0.35;
/// The same for the time that servers spend reading prompts. First tokens wait behind them, so it is lower.
constexpr double reading_utilisation = 0.35;
/// Servers that are wanted for each one found while little load was seen: the first prompts are read whole,
/// since no server keeps any part of them yet.
constexpr double cold_factor = 1.5;
/// Demand counts at its highest over this time.
constexpr base::duration memory_time = 20s;
/// A new holder takes the servers that it finds for needed until it has seen load for this long, and at most
/// for the second time.
constexpr base::duration learning_time = 10s;
constexpr base::duration longest_learning = 60s;
/// Nothing is ordered for this long after a daemon first knew servers: they register one after the other when
/// the fleet starts or the store returns, and a list of the first few would release all others.
constexpr base::duration settle_time = 4s;
/// A refused order is repeated after this time.
constexpr base::duration unavailable_time = 1500ms;
/// An order without an answer is repeated after this time.
constexpr base::duration failure_time = 700ms;
/// An accepted order is repeated when its servers are missing this long after they should have started: a
/// late older order may have been carried out after it.
constexpr base::duration repeat_margin = 3s;
/// Part of a zone's lasting servers that is exchanged at a time when the zone is full.
constexpr std::uint32_t exchange_part = 5;
/// Servers that stay, in each zone.
constexpr std::uint32_t lasting_per_zone = 1;

}  // namespace

autoscaler::autoscaler(catalog::scaling_parameters terms, std::uint32_t slots, base::time_point listed_since)
    : terms_{std::move(terms)},
      slots_{std::max(1.0, static_cast<double>(slots))},
      listed_since_{listed_since} {}

void autoscaler::observe(const service_demand& d, const std::vector<catalog::backend_server>& servers,
                         base::time_point now) {
    double needed = d.requests / (slots_ * slot_utilisation);
    if (d.prefill_tokens_per_s_per_server > 0) {
        needed = std::max(needed,
                          d.prompt_tokens_per_s / (d.prefill_tokens_per_s_per_server * reading_utilisation));
    }
    const auto reclaimable = static_cast<double>(
        std::count_if(servers.begin(), servers.end(), [](const auto& s) { return s.reclaimable; }));
    if (!first_observed_) {
        first_observed_ = now;
    }
    if (now - listed_since_ <= settle_time) {
        found_reclaimable_ = std::max(found_reclaimable_, reclaimable);
    }
    if (needed > 0 && !first_load_) {
        first_load_ = now;
    }
    const bool learning =
        now - first_load_.value_or(now) < learning_time && now - *first_observed_ < longest_learning;
    // Too little was seen to judge: what was found is taken for needed, but not what was ordered since.
    const auto lasting = static_cast<double>(servers.size()) - reclaimable;
    assumed_ = learning ? lasting + std::min(reclaimable, found_reclaimable_) : 0;
    // Servers that stay are released meanwhile; the number found at first goes on to count.
    found_ = std::max(found_, assumed_);
    assumed_ = learning ? found_ : 0;
    history_.emplace_back(now, needed);
    while (now - history_.front().first > memory_time) {
        history_.pop_front();
    }
    present_.clear();
    for (const auto& s : servers) {
        if (!s.draining) {
            ++present_[{s.zone, s.reclaimable}];
        }
    }
    plan();
}

double autoscaler::needed() const {
    double most = assumed_;
    for (const auto& [at, value] : history_) {
        most = std::max(most, value);
    }
    return most;
}

std::uint32_t autoscaler::present(const base::zone_id& zone, bool reclaimable) const {
    const auto it = present_.find({zone, reclaimable});
    return it == present_.end() ? 0 : it->second;
}

void autoscaler::plan() {
    const auto zones = static_cast<double>(terms_.zone_prices.size());
    if (zones == 0) {
        return;
    }
    const bool cheap = terms_.reclaimable_price_ratio && *terms_.reclaimable_price_ratio < 1;
    // With one zone's reclaimable servers gone, the others carry the demand.
    const double per_zone =
        std::max(needed(), assumed_ * cold_factor) / (cheap && zones > 1 ? zones - 1 : zones);
    const auto most = terms_.max_servers_per_zone;
    const auto wanted = std::clamp<std::uint32_t>(static_cast<std::uint32_t>(std::ceil(per_zone)) + 1,
                                                  terms_.min_servers_per_zone, most);
    for (const auto& [zone, price] : terms_.zone_prices) {
        const auto lasting_now = present(zone, false);
        const auto reclaimable_now = present(zone, true);
        if (!cheap) {
            states_[{zone, false}].wanted = wanted;
            continue;
        }
        const auto lasting = std::max(lasting_per_zone, terms_.min_servers_per_zone);
        const auto spare = wanted > lasting ? wanted - lasting : 0;
        // Servers that stay go as reclaimable ones come.
        const auto load = static_cast<std::uint32_t>(std::ceil(needed() / zones)) + 1;
        const auto missing =
            std::min(spare, load) > reclaimable_now ? std::min(spare, load) - reclaimable_now : 0;
        // Where there are no reclaimable servers now, those that stay are ordered in their place.
        const bool replaced = states_[{zone, true}].unavailable;
        auto kept = replaced ? lasting + missing : std::min(lasting_now, lasting + missing);
        if (!replaced && lasting_now + reclaimable_now >= most && kept > lasting) {
            // Both kinds share the zone's bound: the next reclaimable ones need their room.
            kept -= std::min(kept - lasting, std::max(1U, kept / exchange_part));
        }
        states_[{zone, false}].wanted =
            std::clamp(std::max(lasting, kept), terms_.min_servers_per_zone, most);
        states_[{zone, true}].wanted = std::min(spare, most - std::min(most, states_[{zone, false}].wanted));
    }
}

std::vector<capacity_request> autoscaler::due_capacity_requests(base::time_point now) {
    std::vector<capacity_request> out;
    if (!first_observed_ || now - listed_since_ < settle_time) {
        return out;
    }
    for (auto& [k, s] : states_) {
        if (s.in_flight || now < s.retry_at) {
            continue;
        }
        const auto& [zone, reclaimable] = k;
        const bool overdue = s.known && now - s.accepted_at > terms_.boot_time + repeat_margin &&
                             present(zone, reclaimable) != s.accepted;
        // Nothing was ordered of a kind that is neither wanted nor there.
        const bool idle = !s.known && s.wanted == 0 && present(zone, reclaimable) == 0;
        if (idle || (s.known && s.accepted == s.wanted && !overdue)) {
            continue;
        }
        s.in_flight = true;
        out.push_back({zone, reclaimable, s.wanted});
    }
    return out;
}

void autoscaler::capacity_request_finished(const capacity_request& o, capacity_result r,
                                           base::time_point now) {
    auto& s = states_[{o.zone, o.reclaimable}];
    s.in_flight = false;
    switch (r) {
        case capacity_result::accepted:
            s.known = true;
            s.unavailable = false;
            s.accepted = o.count;
            s.accepted_at = now;
            s.retry_at = {};
            return;
        case capacity_result::unavailable:
            s.unavailable = true;
            s.retry_at = now + unavailable_time;
            return;
        case capacity_result::failed:
            s.retry_at = now + failure_time;
            return;
    }
}

}  // namespace chicorygap::duties
