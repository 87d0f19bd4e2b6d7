#include "controller_state.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace chicorygap::admission {

void controller::state::apply_policy(policy p) {
    policy_ = std::move(p);
    pressure_.set_hold_time(policy_.pressure_hold_time);
    ramp_.set_ramp_time(policy_.ramp_time);
    apply_classes();
    apply_workspaces();
}

void controller::state::apply_classes() {
    for (auto& c : classes_) {
        c.removed = true;
    }
    for (const auto& configured : policy_.classes) {
        const auto [it, added] =
            class_index_.try_emplace(configured.id, static_cast<std::uint32_t>(classes_.size()));
        if (added) {
            classes_.emplace_back(configured, requests_);
        }
        class_state& c = classes_[it->second];
        c.policy = configured;
        c.removed = false;
    }
    classes_by_tier_.resize(classes_.size());
    std::iota(classes_by_tier_.begin(), classes_by_tier_.end(), 0U);
    std::stable_sort(classes_by_tier_.begin(), classes_by_tier_.end(), [&](auto a, auto b) {
        return classes_[a].policy.tier.outranks(classes_[b].policy.tier);
    });
    for (auto& c : classes_) {
        if (c.removed) {
            reject_queue_of_removed_class(c);
        }
    }
}

void controller::state::reject_queue_of_removed_class(class_state& c) {
    while (c.queue.size() > 0) {
        reject_queued(c.queue.earliest_deadline().second, base::result_code::route_unknown, {});
    }
    c.unserved_since.reset();
}

void controller::state::apply_workspaces() {
    for (auto& w : workspaces_) {
        w.policy = workspace_policy{w.policy.id, 1, {}};
    }
    for (const auto& configured : policy_.workspaces) {
        workspaces_[workspace_index(configured.id)].policy = configured;
    }
    for (std::uint32_t i = 0; i < workspaces_.size(); ++i) {
        workspaces_[i].update_rate_limits(now_);
        update_blocked_flows(i);
    }
}

std::uint32_t controller::state::workspace_index(const base::workspace_id& id) {
    const auto [it, added] = workspace_index_.try_emplace(id, static_cast<std::uint32_t>(workspaces_.size()));
    if (added) {
        workspaces_.emplace_back().policy.id = id;
        workspaces_.back().update_rate_limits(now_);
    }
    return it->second;
}

}  // namespace chicorygap::admission
