#include "controller_state.h"

#include <algorithm>
#include <cmath>

namespace chicorygap::admission {

namespace {

// Minimum fraction of the slots that the prediction assumes for a class, so that it stays finite under
// overload.
constexpr double min_service_rate_share = 0.02;
// Prediction while there are no slots.
constexpr double wait_without_slots_seconds = 1;
// Lower tiers leave free this many standard deviations of the number of slots that higher tiers occupy
// (Poisson arrivals). 99% of the higher-tier requests then find a free slot while a burst of a lower tier
// fills the rest.
constexpr double reserve_std_deviations = 2.33;
constexpr double max_reserved_share = 0.25;
constexpr double min_load_for_reserve = 0.1;

}  // namespace

double controller::state::expected_release_seconds() const {
    return running_ == 0 ? 0 : running_slot_seconds_ / running_ / (running_ + 1);
}

bool controller::state::floor_due(const class_state& c) const {
    return c.unserved_since && now_ - *c.unserved_since >= c.policy.floor_wait &&
           c.running_by_floor < floor_slots(c);
}

int controller::state::floor_slots(const class_state& c) const {
    return std::max(1, static_cast<int>(usable_slots() * c.policy.floor_share));
}

int controller::state::reserved_slots(double load_above) const {
    const double reserve =
        std::min(reserve_std_deviations * std::sqrt(load_above), max_reserved_share * usable_slots());
    return load_above < min_load_for_reserve ? 0 : static_cast<int>(reserve);
}

double controller::state::floor_wait_bound_seconds(const class_state& c) const {
    const std::chrono::duration<double> floor_interval = c.policy.floor_wait;
    const auto unserved = c.unserved_since ? now_ - *c.unserved_since : base::duration::zero();
    const std::chrono::duration<double> time_to_first_start =
        std::max<base::duration>(c.policy.floor_wait - unserved, {});
    return time_to_first_start.count() + floor_interval.count() * static_cast<double>(c.queue.size());
}

double controller::state::predicted_wait_seconds(const class_state& c, double own_queue_slot_seconds) const {
    const int slots = usable_slots();
    if (slots == 0) {
        return wait_without_slots_seconds;
    }
    double slot_seconds_ahead = own_queue_slot_seconds;
    double service_rate = slots;
    for (const auto& other : classes_) {
        if (&other == &c) {
            continue;
        }
        const double mean_service_seconds =
            std::chrono::duration<double>{other.estimator.mean().service_time}.count();
        if (other.policy.tier.outranks(c.policy.tier)) {
            slot_seconds_ahead += other.queue.queued_slot_seconds();
            service_rate -= other.load.slots_at(now_);
        } else if (other.policy.tier == c.policy.tier) {
            slot_seconds_ahead += std::min(other.queue.queued_slot_seconds(), own_queue_slot_seconds);
        } else if (other.backlogged()) {
            const std::chrono::duration<double> floor_interval = other.policy.floor_wait;
            service_rate -= std::min<double>(mean_service_seconds / std::max(floor_interval.count(), 1e-3),
                                             floor_slots(other));
        }
    }
    if (running_ < slots && slot_seconds_ahead <= 0) {
        return 0;
    }
    const double drain_seconds = slot_seconds_ahead / std::max(service_rate, min_service_rate_share * slots);
    return expected_release_seconds() + std::min(drain_seconds, floor_wait_bound_seconds(c));
}

base::duration controller::state::predicted_wait(request_index i) const {
    const request& r = requests_[i];
    const class_state& c = classes_[r.service_class];
    const workspace_state& w = workspaces_[r.workspace];
    const double own_queue_slot_seconds =
        std::max(c.queue.slot_seconds_until_served(r.workspace) - r.estimated_slot_seconds, 0.0);
    double wait_seconds = usable_slots() == 0 ? 0 : predicted_wait_seconds(c, own_queue_slot_seconds);
    if (const auto limit = w.concurrency_limit(); limit && *limit > 0 && w.running >= *limit) {
        const double flow_slot_seconds =
            c.queue.workspace_slot_seconds(r.workspace) - r.estimated_slot_seconds;
        wait_seconds =
            std::max(wait_seconds, flow_slot_seconds / *limit + r.estimated_slot_seconds / (*limit + 1));
    }
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>{wait_seconds});
}

}  // namespace chicorygap::admission
