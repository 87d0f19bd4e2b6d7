#include "state.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace chicorygap::admission {

void controller::state::apply(policy p) {
    policy_ = std::move(p);
    pressure_.set_hold(policy_.pressure_hold_time);
    ramp_.set_ramp_time(policy_.ramp_time);
    apply_classes();
    apply_workspaces();
}

void controller::state::apply_classes() {
    for (auto& c : classes_) {
        c.removed = true;
    }
    for (const auto& rules : policy_.classes) {
        const auto [it, added] =
            class_index_.try_emplace(rules.id, static_cast<std::uint32_t>(classes_.size()));
        if (added) {
            classes_.emplace_back(rules, requests_);
        }
        class_state& c = classes_[it->second];
        c.rules = rules;
        c.removed = false;
    }
    order_.resize(classes_.size());
    std::iota(order_.begin(), order_.end(), 0U);
    std::stable_sort(order_.begin(), order_.end(),
                     [&](auto a, auto b) { return classes_[a].rules.tier.outranks(classes_[b].rules.tier); });
    for (auto& c : classes_) {
        if (c.removed) {
            close_class(c);
        }
    }
}

void controller::state::close_class(class_state& c) {
    while (c.queue.size() > 0) {
        drop(c.queue.earliest_deadline().second, base::result_code::route_unknown, {});
    }
    c.unmet_since.reset();
}

void controller::state::apply_workspaces() {
    for (auto& w : workspaces_) {
        w.rules = workspace_policy{w.rules.id, 1, {}};
    }
    for (const auto& rules : policy_.workspaces) {
        workspaces_[workspace_index(rules.id)].rules = rules;
    }
    for (std::uint32_t i = 0; i < workspaces_.size(); ++i) {
        workspaces_[i].set_limits(now_);
        block_at_limit(i);
    }
}

std::uint32_t controller::state::workspace_index(const base::workspace_id& id) {
    const auto [it, added] = workspace_index_.try_emplace(id, static_cast<std::uint32_t>(workspaces_.size()));
    if (added) {
        workspaces_.emplace_back().rules.id = id;
        workspaces_.back().set_limits(now_);
    }
    return it->second;
}

}  // namespace chicorygap::admission
