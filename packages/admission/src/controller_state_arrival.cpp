#include "base/error.h"
#include "controller_state.h"

#include <algorithm>

namespace chicorygap::admission {

using base::result_code;

namespace {

// An immediate retry would get the same result; a shorter delay would only add load.
constexpr base::duration min_retry_after = std::chrono::milliseconds{100};
// Each preemption frees one slot for the head of the queue, which may be another request than the arrival.
constexpr int max_preemptions_per_arrival = 4;

}  // namespace

void controller::state::on(const arrival& e) {
    if (requests_.find(e.id) != no_request) {
        throw base::error{result_code::internal, "request id " + e.id.str() + " is already in use"};
    }
    const auto it = class_index_.find(e.service_class);
    if (it == class_index_.end() || classes_[it->second].removed) {
        reject_arrival(e, result_code::route_unknown, {});
        return;
    }
    class_state& c = classes_[it->second];
    const auto workspace = workspace_index(e.workspace);
    if (!check_workspace_limits(e, workspaces_[workspace]) || !check_tier_open(c, e)) {
        ++c.rejected;
        return;
    }
    const request_index i = enqueue(e, it->second, workspace);
    start_queued();
    enforce_deadline(i);
    shed_over_queue_limit(c.policy.tier);
}

bool controller::state::check_workspace_limits(const arrival& e, workspace_state& w) {
    auto wait =
        std::max(w.request_limiter.time_until_allowed(now_), w.token_limiter.time_until_allowed(now_));
    if (w.concurrency_limit() == 0) {
        wait = std::max<base::duration>(wait, std::chrono::seconds{1});
    }
    if (wait > base::duration::zero()) {
        reject_arrival(e, result_code::workspace_limit, wait);
        return false;
    }
    w.request_limiter.charge(1);
    return true;
}

bool controller::state::check_tier_open(class_state& c, const arrival& e) {
    // A class whose floor is due stays open; otherwise a long overload would starve it.
    if (!pressure_.effective_level(now_).outranks(c.policy.tier) || floor_due(c)) {
        return true;
    }
    c.mark_unserved(now_);
    reject_arrival(e, result_code::tier_closed, pressure_.time_until_admitted(c.policy.tier, now_));
    return false;
}

request_index controller::state::enqueue(const arrival& e, std::uint32_t class_index,
                                         std::uint32_t workspace) {
    class_state& c = classes_[class_index];
    request r;
    r.id = e.id;
    r.service_class = class_index;
    r.workspace = workspace;
    r.prompt_tokens = e.prompt_tokens;
    r.max_output_tokens = e.max_output_tokens;
    r.deadline = e.deadline;
    r.resumable = e.resumable;
    const auto estimate = c.estimator.estimate(e.prompt_tokens, e.max_output_tokens);
    r.estimated_tokens = static_cast<double>(e.prompt_tokens) + estimate.output_tokens;
    r.estimated_slot_seconds = std::chrono::duration<double>{estimate.service_time}.count();
    r.charged_tokens = r.estimated_tokens;
    workspaces_[workspace].token_limiter.charge(r.charged_tokens);
    const request_index i = requests_.insert(std::move(r));
    c.queue.set_blocked(workspace, workspaces_[workspace].at_concurrency_limit());
    c.queue.push_back(i, workspaces_[workspace].policy.weight);
    c.mark_unserved(now_);
    ++queued_;
    return i;
}

void controller::state::enforce_deadline(request_index i) {
    for (int n = 0; n <= max_preemptions_per_arrival; ++n) {
        if (requests_[i].running) {
            return;
        }
        const base::duration wait = predicted_wait(i);
        const base::duration slack = requests_[i].deadline - now_;
        if (slack >= preemption_wait_factor * wait) {
            return;
        }
        if (n < max_preemptions_per_arrival && is_near_head(i) && preempt_and_start(requests_[i])) {
            continue;
        }
        if (slack >= wait) {
            return;
        }
        reject_unreachable_deadline(i, wait);
        return;
    }
}

bool controller::state::is_near_head(request_index i) const {
    const class_state& c = classes_[requests_[i].service_class];
    std::size_t ahead = c.queue.size() - 1;
    for (const auto& other : classes_) {
        ahead += other.policy.tier.outranks(c.policy.tier) ? other.queue.size() : 0;
    }
    return ahead < max_preemptions_per_arrival;
}

void controller::state::reject_unreachable_deadline(request_index i, base::duration wait) {
    const request& r = requests_[i];
    class_state& c = class_of(i);
    const base::duration slack = r.deadline - now_;
    const base::duration retry_after = std::max(wait - slack, min_retry_after);
    if (workspaces_[r.workspace].at_concurrency_limit()) {
        reject_queued(i, result_code::workspace_limit, retry_after);
        return;
    }
    // If the floor of the class is due, one request waits for a slot regardless of the prediction.
    if (floor_due(c) && c.queue.size() == 1 && slack > base::duration::zero()) {
        return;
    }
    if (slack > base::duration::zero()) {
        pressure_.record_rejection(c.policy.tier, now_);
    }
    reject_queued(i, result_code::deadline_unreachable, retry_after);
}

void controller::state::shed_over_queue_limit(base::tier cause) {
    while (queued_ > policy_.queue_limit) {
        const auto lowest = std::find_if(classes_by_tier_.rbegin(), classes_by_tier_.rend(),
                                         [&](auto index) { return classes_[index].queue.size() > 0; });
        class_state& c = classes_[*lowest];
        const request_index i = c.queue.shedding_candidate();
        const auto queued_code =
            cause.outranks(c.policy.tier) ? result_code::shed_for_higher_tier : result_code::queue_full;
        const auto code = requests_[i].preemptions > 0 ? result_code::preempted : queued_code;
        pressure_.record_rejection(c.policy.tier, now_);
        reject_queued(i, code, std::max(predicted_wait(i), min_retry_after));
    }
}

void controller::state::reject_queued(request_index i, result_code code, base::duration retry_after) {
    class_state& c = class_of(i);
    refund_unused_tokens(requests_[i]);
    c.queue.remove(i);
    ++c.rejected;
    --queued_;
    actions_.emplace_back(reject{requests_[i].id, code, retry_after});
    requests_.erase(i);
}

void controller::state::reject_arrival(const arrival& e, result_code code, base::duration retry_after) {
    actions_.emplace_back(reject{e.id, code, retry_after});
}

void controller::state::refund_unused_tokens(const request& r) {
    const double used = r.tokens_sent > 0 ? static_cast<double>(r.prompt_tokens + r.tokens_sent) : 0;
    workspaces_[r.workspace].token_limiter.charge(used - r.charged_tokens);
}

}  // namespace chicorygap::admission
