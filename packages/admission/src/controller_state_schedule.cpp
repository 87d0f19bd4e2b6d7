#include "controller_state.h"

#include <algorithm>
#include <utility>

namespace chicorygap::admission {

using base::result_code;

namespace {

// Work to process one prompt token, in output tokens: while an engine processes 8,000 prompt tokens/s, a
// batch of 16 streams loses about a third of its 400 output tokens/s.
constexpr double prompt_token_cost_in_output_tokens = 0.02;
// No engine in the deployments processes a prompt faster. This bounds the work that is lost when a request is
// preempted soon after its start.
constexpr double max_prompt_tokens_per_second = 10'000;
// A request that was preempted this often is not preempted again, so that it completes.
constexpr int max_preemptions_per_request = 2;
// The most recently started requests lose the least work; examining more does not find a better victim in
// practice.
constexpr int max_victims_examined = 8;

}  // namespace

void controller::state::reject_expired() {
    for (auto& c : classes_) {
        while (c.queue.size() > 0) {
            const auto [deadline, i] = c.queue.earliest_deadline();
            if (deadline > now_) {
                break;
            }
            const base::duration wait = predicted_wait(i);
            if (workspaces_[requests_[i].workspace].at_concurrency_limit()) {
                reject_queued(i, result_code::workspace_limit, wait);
                continue;
            }
            pressure_.record_rejection(c.policy.tier, now_);
            reject_queued(i, result_code::deadline_unreachable, wait);
        }
    }
}

void controller::state::start_queued() {
    while (running_ < usable_slots()) {
        class_state* c = next_class_by_floor();
        c = c == nullptr ? next_class_by_priority(true) : c;
        if (c == nullptr) {
            return;
        }
        start_request(*c);
    }
}

class_state* controller::state::next_class_by_priority(bool leave_reserve) {
    class_state* selected = nullptr;
    base::tier tier;
    double load_above = 0;  // average number of slots that the tiers above `tier` occupy
    double load_of_tier = 0;
    for (const auto index : classes_by_tier_) {
        class_state& c = classes_[index];
        if (tier.outranks(c.policy.tier)) {
            if (selected != nullptr) {
                break;
            }
            load_above += std::exchange(load_of_tier, 0);
            tier = c.policy.tier;
        }
        const int reserve = leave_reserve ? reserved_slots(load_above) : 0;
        if (c.backlogged() && running_ < usable_slots() - reserve &&
            (selected == nullptr || c.unserved_since < selected->unserved_since)) {
            selected = &c;
        }
        load_of_tier += c.load.slots_at(now_);
    }
    return selected;
}

class_state* controller::state::next_class_by_floor() {
    class_state* selected = nullptr;
    base::duration max_overdue{};
    for (const auto index : classes_by_tier_) {
        class_state& c = classes_[index];
        if (!c.backlogged() || !floor_due(c) || higher_tier_would_miss_deadline(c)) {
            continue;
        }
        const base::duration overdue = now_ - *c.unserved_since - c.policy.floor_wait;
        if (selected == nullptr || overdue > max_overdue) {
            selected = &c;
            max_overdue = overdue;
        }
    }
    return selected;
}

bool controller::state::higher_tier_would_miss_deadline(const class_state& c) const {
    // The floor yields to a queued higher-tier request that would miss its deadline, but at most for a second
    // `floor_wait`, which bounds the wait of the class.
    if (now_ - *c.unserved_since >= 2 * c.policy.floor_wait) {
        return false;
    }
    const auto next_release = now_ + std::chrono::duration_cast<base::duration>(
                                         std::chrono::duration<double>{expected_release_seconds()});
    return std::any_of(classes_by_tier_.begin(), classes_by_tier_.end(), [&](auto index) {
        const class_state& other = classes_[index];
        return other.policy.tier.outranks(c.policy.tier) && other.backlogged() &&
               other.queue.earliest_deadline().first < next_release;
    });
}

void controller::state::start_request(class_state& c) {
    const request_index i = c.queue.next_request();
    request& r = requests_[i];
    const bool ahead_of_higher_tier =
        std::any_of(classes_by_tier_.begin(), classes_by_tier_.end(), [&](auto index) {
            return classes_[index].policy.tier.outranks(c.policy.tier) && classes_[index].backlogged();
        });
    c.queue.dequeue(i);
    --queued_;
    r.running = true;
    r.started_at = now_;
    r.started_by_floor = ahead_of_higher_tier;
    c.running_by_floor += ahead_of_higher_tier ? 1 : 0;
    if (r.resumable && r.preemptions < max_preemptions_per_request) {
        c.preemptible.emplace(now_, i);
    }
    c.load.add(r.estimated_slot_seconds, now_);
    ++c.running;
    ++c.started;
    c.unserved_since.reset();
    if (c.queue.size() > 0) {
        c.mark_unserved(now_);
    }
    ++running_;
    running_slot_seconds_ += r.estimated_slot_seconds;
    ++workspaces_[r.workspace].running;
    update_blocked_flows(r.workspace);
    actions_.emplace_back(start{r.id, r.resumed});
}

void controller::state::release_slot(request_index i) {
    request& r = requests_[i];
    class_state& c = class_of(i);
    r.running = false;
    c.preemptible.erase({r.started_at, i});
    --c.running;
    c.running_by_floor -= r.started_by_floor ? 1 : 0;
    --running_;
    running_slot_seconds_ = running_ == 0 ? 0 : running_slot_seconds_ - r.estimated_slot_seconds;
    --workspaces_[r.workspace].running;
    update_blocked_flows(r.workspace);
}

void controller::state::requeue(request_index i) {
    request& r = requests_[i];
    class_state& c = class_of(i);
    release_slot(i);
    // The tokens used so far stay charged. The next start charges the estimate of the remaining tokens.
    const auto sent_tokens = static_cast<double>(r.tokens_sent);
    const double used_tokens = r.tokens_sent > 0 ? static_cast<double>(r.prompt_tokens) + sent_tokens : 0;
    const double remaining_tokens =
        used_tokens > 0 ? std::max(r.charged_tokens - used_tokens, 1.0) : r.estimated_tokens;
    r.estimated_slot_seconds *= std::min(remaining_tokens / r.estimated_tokens, 1.0);
    r.estimated_tokens = remaining_tokens;
    r.resumed = r.resumed || r.tokens_sent > 0;
    c.queue.adjust_charge(r.workspace, used_tokens - r.charged_tokens);
    workspaces_[r.workspace].token_limiter.charge(used_tokens + remaining_tokens - r.charged_tokens);
    r.charged_tokens = used_tokens + remaining_tokens;
    c.queue.push_front(i, workspaces_[r.workspace].policy.weight);
    c.mark_unserved(now_);
    ++queued_;
}

void controller::state::update_blocked_flows(std::uint32_t workspace) {
    const workspace_state& w = workspaces_[workspace];
    if (!w.policy.limits.concurrency) {
        return;
    }
    for (auto& c : classes_) {
        c.queue.set_blocked(workspace, w.at_concurrency_limit());
    }
}

void controller::state::preempt_for_urgent_deadline() {
    const auto latest_release =
        now_ + preemption_wait_factor * std::chrono::duration_cast<base::duration>(
                                            std::chrono::duration<double>{expected_release_seconds()});
    for (const auto index : classes_by_tier_) {
        class_state& c = classes_[index];
        const request_index i = c.queue.next_request();
        if (i != no_request && requests_[i].deadline < latest_release) {
            preempt_and_start(requests_[i]);
            return;
        }
    }
}

bool controller::state::preempt_and_start(const request& r) {
    if (!preempt_victim_for(class_of(requests_.find(r.id)), r)) {
        return false;
    }
    // The freed slot goes to the request that is next by priority, never to a floor start.
    start_request(*next_class_by_priority(false));
    return true;
}

bool controller::state::preempt_victim_for(const class_state& c, const request& r) {
    if (running_ > usable_slots() || workspaces_[r.workspace].at_concurrency_limit()) {
        return false;
    }
    const double output_tokens = std::max(r.estimated_tokens - static_cast<double>(r.prompt_tokens), 0.0);
    const double gained_work =
        output_tokens + prompt_token_cost_in_output_tokens * static_cast<double>(r.prompt_tokens);
    const request_index victim = find_preemption_victim(c.policy.tier, gained_work);
    if (victim == no_request) {
        return false;
    }
    request& v = requests_[victim];
    ++v.preemptions;
    v.deadline = base::time_point::max();
    ++class_of(victim).preempted;
    actions_.emplace_back(preempt{v.id});
    requeue(victim);
    return true;
}

request_index controller::state::find_preemption_victim(base::tier above, double gained_work) {
    for (auto it = classes_by_tier_.rbegin(); it != classes_by_tier_.rend(); ++it) {
        const class_state& c = classes_[*it];
        if (!above.outranks(c.policy.tier)) {
            break;
        }
        request_index victim = no_request;
        double min_lost_work = gained_work;
        int examined = 0;
        for (auto run = c.preemptible.rbegin(); run != c.preemptible.rend(); ++run) {
            const request& r = requests_[run->second];
            // A resumed request processes its prompt and the tokens already sent again, as one prefill.
            const double elapsed = std::chrono::duration<double>{now_ - r.started_at}.count();
            const double prefilled_tokens = std::min(static_cast<double>(r.prompt_tokens + r.tokens_sent),
                                                     elapsed * max_prompt_tokens_per_second);
            const double lost_work = prompt_token_cost_in_output_tokens * prefilled_tokens;
            if (lost_work < min_lost_work) {
                min_lost_work = lost_work;
                victim = run->second;
            }
            if (++examined == max_victims_examined) {
                break;
            }
        }
        if (victim != no_request) {
            return victim;
        }
    }
    return no_request;
}

}  // namespace chicorygap::admission
