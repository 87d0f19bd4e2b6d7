#include "base/error.h"
#include "state.h"

#include <algorithm>

namespace chicorygap::admission {

using base::result_code;

namespace {

// A caller that retries at once cannot be served better; a shorter hint only adds load.
constexpr base::duration min_retry_after = std::chrono::milliseconds{100};
// Each preemption frees one slot for the head of the queue, which may be ahead of the arrival.
constexpr int max_preemptions_per_arrival = 4;

}  // namespace

void controller::state::on(const arrival& e) {
    if (requests_.find(e.id) != no_request) {
        throw base::error{result_code::internal, "request id " + e.id.str() + " is already known"};
    }
    const auto it = class_index_.find(e.service_class);
    if (it == class_index_.end() || classes_[it->second].removed) {
        reject(e, result_code::route_unknown, {});
        return;
    }
    class_state& c = classes_[it->second];
    const auto workspace = workspace_index(e.workspace);
    if (!within_limits(e, workspaces_[workspace]) || !tier_open(c, e)) {
        ++c.refused;
        return;
    }
    const request_index i = enqueue(e, it->second, workspace);
    start_waiting();
    ensure_timely(i);
    shed_excess(c.rules.tier);
}

bool controller::state::within_limits(const arrival& e, workspace_state& w) {
    auto wait = std::max(w.requests.time_until_allowed(now_), w.tokens.time_until_allowed(now_));
    if (w.concurrency() == 0) {
        wait = std::max<base::duration>(wait, std::chrono::seconds{1});
    }
    if (wait > base::duration::zero()) {
        reject(e, result_code::workspace_limit, wait);
        return false;
    }
    w.requests.charge(1);
    return true;
}

bool controller::state::tier_open(class_state& c, const arrival& e) {
    // A class that the floor must serve stays open, otherwise a long overload would starve it.
    if (!pressure_.level(now_).outranks(c.rules.tier) || floor_due(c)) {
        return true;
    }
    c.note_unmet(now_);
    reject(e, result_code::tier_closed, pressure_.closed_for(c.rules.tier, now_));
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
    r.tokens = static_cast<double>(e.prompt_tokens) + estimate.output_tokens;
    r.seconds = std::chrono::duration<double>{estimate.service_time}.count();
    r.charged = r.tokens;
    workspaces_[workspace].tokens.charge(r.charged);
    const request_index i = requests_.insert(std::move(r));
    c.queue.set_blocked(workspace, workspaces_[workspace].at_limit());
    c.queue.push_back(i, workspaces_[workspace].rules.weight);
    c.note_unmet(now_);
    ++queued_;
    return i;
}

void controller::state::ensure_timely(request_index i) {
    for (int n = 0; n <= max_preemptions_per_arrival; ++n) {
        if (requests_[i].running) {
            return;
        }
        const base::duration wait = predicted_wait_of(i);
        const base::duration slack = requests_[i].deadline - now_;
        if (slack >= preemption_margin * wait) {
            return;
        }
        if (n < max_preemptions_per_arrival && near_head(i) && preempt_and_start(requests_[i])) {
            continue;
        }
        if (slack >= wait) {
            return;
        }
        refuse_late(i, wait);
        return;
    }
}

bool controller::state::near_head(request_index i) const {
    const class_state& c = classes_[requests_[i].service_class];
    std::size_t ahead = c.queue.size() - 1;
    for (const auto& other : classes_) {
        ahead += other.rules.tier.outranks(c.rules.tier) ? other.queue.size() : 0;
    }
    return ahead < max_preemptions_per_arrival;
}

void controller::state::refuse_late(request_index i, base::duration wait) {
    const request& r = requests_[i];
    class_state& c = class_of(i);
    const base::duration slack = r.deadline - now_;
    const base::duration retry_after = std::max(wait - slack, min_retry_after);
    if (workspaces_[r.workspace].at_limit()) {
        drop(i, result_code::workspace_limit, retry_after);
        return;
    }
    // One request of a class that the floor must serve waits for a slot, whatever the prediction.
    if (floor_due(c) && c.queue.size() == 1 && slack > base::duration::zero()) {
        return;
    }
    if (slack > base::duration::zero()) {
        pressure_.record_refusal(c.rules.tier, now_);
    }
    drop(i, result_code::deadline_unreachable, retry_after);
}

void controller::state::shed_excess(base::tier cause) {
    while (queued_ > policy_.queue_limit) {
        const auto lowest = std::find_if(order_.rbegin(), order_.rend(),
                                         [&](auto index) { return classes_[index].queue.size() > 0; });
        class_state& c = classes_[*lowest];
        const request_index i = c.queue.worst();
        const auto queued_code =
            cause.outranks(c.rules.tier) ? result_code::shed_for_higher_tier : result_code::queue_full;
        const auto code = requests_[i].preemptions > 0 ? result_code::preempted : queued_code;
        pressure_.record_refusal(c.rules.tier, now_);
        drop(i, code, std::max(predicted_wait_of(i), min_retry_after));
    }
}

void controller::state::drop(request_index i, result_code code, base::duration retry_after) {
    class_state& c = class_of(i);
    refund(requests_[i]);
    c.queue.remove(i);
    ++c.refused;
    --queued_;
    actions_.emplace_back(refuse{requests_[i].id, code, retry_after});
    requests_.erase(i);
}

void controller::state::reject(const arrival& e, result_code code, base::duration retry_after) {
    actions_.emplace_back(refuse{e.id, code, retry_after});
}

void controller::state::refund(const request& r) {
    const double used = r.tokens_sent > 0 ? static_cast<double>(r.prompt_tokens + r.tokens_sent) : 0;
    workspaces_[r.workspace].tokens.charge(used - r.charged);
}

}  // namespace chicorygap::admission
