#include "state.h"

#include <algorithm>
#include <cmath>

namespace chicorygap::admission {

namespace {

// Part of the slots that a class is always assumed to get; the prediction stays finite under overload.
constexpr double min_rate_share = 0.02;
constexpr double unknown_wait_seconds = 1;
// Lower tiers leave this many standard deviations of the slots that higher tiers occupy (Poisson arrivals),
// so that 99% of urgent requests find a free slot while a burst of a lower tier fills the rest.
constexpr double reserve_deviations = 2.33;
constexpr double max_reserved_share = 0.25;
constexpr double min_reserved_load = 0.1;

}  // namespace

double controller::state::next_release_seconds() const {
    return running_ == 0 ? 0 : running_seconds_ / running_ / (running_ + 1);
}

bool controller::state::floor_due(const class_state& c) const {
    return c.unmet_since && now_ - *c.unmet_since >= c.rules.floor_wait &&
           c.running_by_floor < floor_slots(c);
}

int controller::state::floor_slots(const class_state& c) const {
    return std::max(1, static_cast<int>(usable_slots() * c.rules.floor_share));
}

int controller::state::reserved_slots(double load_above) const {
    const double reserve =
        std::min(reserve_deviations * std::sqrt(load_above), max_reserved_share * usable_slots());
    return load_above < min_reserved_load ? 0 : static_cast<int>(reserve);
}

double controller::state::floor_wait_seconds(const class_state& c) const {
    const std::chrono::duration<double> interval = c.rules.floor_wait;
    const auto since = c.unmet_since ? now_ - *c.unmet_since : base::duration::zero();
    const std::chrono::duration<double> first = std::max<base::duration>(c.rules.floor_wait - since, {});
    return first.count() + interval.count() * static_cast<double>(c.queue.size());
}

double controller::state::predicted_wait(const class_state& c, double own_queue_seconds) const {
    const int slots = usable_slots();
    if (slots == 0) {
        return unknown_wait_seconds;
    }
    double ahead = own_queue_seconds;
    double rate = slots;
    for (const auto& other : classes_) {
        if (&other == &c) {
            continue;
        }
        const double mean = std::chrono::duration<double>{other.estimator.mean().service_time}.count();
        if (other.rules.tier.outranks(c.rules.tier)) {
            ahead += other.queue.queued_seconds();
            rate -= other.load.at(now_);
        } else if (other.rules.tier == c.rules.tier) {
            ahead += std::min(other.queue.queued_seconds(), own_queue_seconds);
        } else if (other.backlogged()) {
            const std::chrono::duration<double> interval = other.rules.floor_wait;
            rate -= std::min<double>(mean / std::max(interval.count(), 1e-3), floor_slots(other));
        }
    }
    if (running_ < slots && ahead <= 0) {
        return 0;
    }
    const double drain = ahead / std::max(rate, min_rate_share * slots);
    return next_release_seconds() + std::min(drain, floor_wait_seconds(c));
}

base::duration controller::state::predicted_wait_of(request_index i) const {
    const request& r = requests_[i];
    const class_state& c = classes_[r.service_class];
    const workspace_state& w = workspaces_[r.workspace];
    const double own = std::max(c.queue.seconds_until_served(r.workspace) - r.seconds, 0.0);
    double wait = usable_slots() == 0 ? 0 : predicted_wait(c, own);
    if (const auto limit = w.concurrency(); limit && *limit > 0 && w.running >= *limit) {
        const double flow = c.queue.flow_seconds(r.workspace) - r.seconds;
        wait = std::max(wait, flow / *limit + r.seconds / (*limit + 1));
    }
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>{wait});
}

}  // namespace chicorygap::admission
