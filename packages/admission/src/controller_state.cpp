#include "controller_state.h"

#include <algorithm>
#include <utility>

namespace chicorygap::admission {

controller::state::state(policy p) : pressure_{p.pressure_hold_time}, ramp_{p.ramp_time} {
    apply_policy(std::move(p));
}

std::vector<action> controller::state::handle(const event& e, base::time_point now) {
    now_ = std::max(now, now_);
    actions_.clear();
    ramp_.advance(now_);
    // A cancelled request is removed first, so that it is not rejected as expired in addition.
    if (!std::holds_alternative<cancelled>(e)) {
        reject_expired();
    }
    std::visit([this](const auto& v) { on(v); }, e);
    reject_expired();
    start_queued();
    return std::move(actions_);
}

void controller::state::on(const progress& e) {
    const request_index i = requests_.find(e.id);
    if (i == no_request || !requests_[i].running) {
        return;
    }
    request& r = requests_[i];
    r.tokens_sent = std::max(r.tokens_sent, e.output_tokens);
    const double used = static_cast<double>(r.prompt_tokens + r.tokens_sent);
    if (used > r.charged_tokens) {
        class_of(i).queue.adjust_charge(r.workspace, used - r.charged_tokens);
        workspaces_[r.workspace].token_limiter.charge(used - r.charged_tokens);
        r.charged_tokens = used;
    }
}

void controller::state::on(const finished& e) {
    const request_index i = requests_.find(e.id);
    if (i == no_request || !requests_[i].running) {
        return;
    }
    const request& r = requests_[i];
    class_state& c = class_of(i);
    if (e.service_time > base::duration::zero() && r.preemptions == 0) {
        c.estimator.record(r.prompt_tokens, e.output_tokens, e.service_time);
    }
    const double delta = static_cast<double>(r.prompt_tokens + e.output_tokens) - r.charged_tokens;
    c.queue.adjust_charge(r.workspace, delta);
    workspaces_[r.workspace].token_limiter.charge(delta);
    release_slot(i);
    requests_.erase(i);
}

void controller::state::on(const placement_failed& e) {
    const request_index i = requests_.find(e.id);
    if (i != no_request && requests_[i].running) {
        requeue(i);
        // No backend server had a free slot: the slot count is stale until the next `capacity_changed`.
        ramp_.set_target(std::min(ramp_.target(), running_), true, now_);
    }
}

void controller::state::on(const cancelled& e) {
    const request_index i = requests_.find(e.id);
    if (i == no_request) {
        return;
    }
    if (requests_[i].running) {
        const request& r = requests_[i];
        const double unused = r.charged_tokens - static_cast<double>(r.prompt_tokens + r.tokens_sent);
        class_of(i).queue.adjust_charge(r.workspace, -unused);
        workspaces_[r.workspace].token_limiter.charge(-unused);
        release_slot(i);
    } else {
        class_state& c = class_of(i);
        refund_unused_tokens(requests_[i]);
        c.queue.remove(i);
        --queued_;
        if (c.queue.size() == 0) {
            c.unserved_since.reset();
        }
    }
    requests_.erase(i);
}

void controller::state::on(const capacity_changed& e) {
    ramp_.set_target(std::max(e.slots, 0), queued_ > 0, now_);
}

void controller::state::on(const pressure_changed& e) {
    pressure_.set_peer_level(e.lowest_admitted_tier, now_);
}

void controller::state::on(const limit_share_changed& e) {
    const auto i = workspace_index(e.workspace);
    workspaces_[i].limit_share = std::clamp(e.share, 0.0, 1.0);
    workspaces_[i].update_rate_limits(now_);
    update_blocked_flows(i);
}

void controller::state::on(const policy_changed& e) {
    apply_policy(e.value);
}

void controller::state::on(const tick&) {
    preempt_for_urgent_deadline();
}

status controller::state::snapshot(base::time_point now) const {
    status s;
    for (const auto index : classes_by_tier_) {
        const class_state& c = classes_[index];
        class_status& out = s.classes.emplace_back();
        out.id = c.policy.id;
        out.tier = c.policy.tier;
        out.queued = c.queue.size();
        out.running = c.running;
        out.unserved_for =
            c.backlogged() && c.unserved_since ? now - *c.unserved_since : base::duration::zero();
        out.predicted_wait = std::chrono::duration_cast<base::duration>(
            std::chrono::duration<double>{predicted_wait_seconds(c, 0)});
        out.started = c.started;
        out.rejected = c.rejected;
        out.preempted = c.preempted;
    }
    s.queued = queued_;
    s.running = static_cast<std::size_t>(running_);
    s.slots = ramp_.target();
    s.usable_slots = ramp_.usable();
    s.pressure = pressure_.local_level(now);
    s.effective_pressure = pressure_.effective_level(now);
    return s;
}

controller::controller(policy p) : state_{std::make_unique<state>(std::move(p))} {}
controller::~controller() = default;
controller::controller(controller&&) noexcept = default;
controller& controller::operator=(controller&&) noexcept = default;

std::vector<action> controller::handle(const event& e, base::time_point now) {
    return state_->handle(e, now);
}

status controller::snapshot(base::time_point now) const {
    return state_->snapshot(now);
}

}  // namespace chicorygap::admission
