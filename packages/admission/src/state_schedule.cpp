#include "state.h"

#include <algorithm>
#include <utility>

namespace chicorygap::admission {

using base::result_code;

namespace {

// Work of one prompt token in output tokens: while an engine processes 8,000 prompt tokens/s, a batch of 16
// streams loses about a third of its 400 output tokens/s.
constexpr double prompt_token_cost = 0.02;
// No engine of the deployments processes one prompt faster, so a young run cannot have lost more than this.
constexpr double prompt_tokens_per_second = 10'000;
// A request that was preempted this often keeps its slot, so that it completes.
constexpr int max_preemptions = 2;
// The most recent runs hold the least work; looking further back finds no better victim in practice.
constexpr int victims_examined = 8;

}  // namespace

void controller::state::remove_expired() {
    for (auto& c : classes_) {
        while (c.queue.size() > 0) {
            const auto [deadline, i] = c.queue.earliest_deadline();
            if (deadline > now_) {
                break;
            }
            const base::duration wait = predicted_wait_of(i);
            if (workspaces_[requests_[i].workspace].at_limit()) {
                drop(i, result_code::workspace_limit, wait);
                continue;
            }
            pressure_.record_refusal(c.rules.tier, now_);
            drop(i, result_code::deadline_unreachable, wait);
        }
    }
}

void controller::state::start_waiting() {
    while (running_ < usable_slots()) {
        class_state* c = overdue_class();
        c = c == nullptr ? strict_class(true) : c;
        if (c == nullptr) {
            return;
        }
        start_request(*c);
    }
}

class_state* controller::state::strict_class(bool keep_reserve) {
    class_state* best = nullptr;
    base::tier tier;
    double load_above = 0;  // slots that the tiers above `tier` occupy
    double load_here = 0;
    for (const auto index : order_) {
        class_state& c = classes_[index];
        if (tier.outranks(c.rules.tier)) {
            if (best != nullptr) {
                break;
            }
            load_above += std::exchange(load_here, 0);
            tier = c.rules.tier;
        }
        const int reserve = keep_reserve ? reserved_slots(load_above) : 0;
        if (c.backlogged() && running_ < usable_slots() - reserve &&
            (best == nullptr || c.unmet_since < best->unmet_since)) {
            best = &c;
        }
        load_here += c.load.at(now_);
    }
    return best;
}

class_state* controller::state::overdue_class() {
    class_state* most = nullptr;
    base::duration most_overdue{};
    for (const auto index : order_) {
        class_state& c = classes_[index];
        if (!c.backlogged() || !floor_due(c) || harms_higher_tier(c)) {
            continue;
        }
        const base::duration overdue = now_ - *c.unmet_since - c.rules.floor_wait;
        if (most == nullptr || overdue > most_overdue) {
            most = &c;
            most_overdue = overdue;
        }
    }
    return most;
}

bool controller::state::harms_higher_tier(const class_state& c) const {
    // The floor gives way to a queued higher-tier request that would miss its deadline, but not for
    // longer than a second `floor_wait`: this is the bound on the wait of a class.
    if (now_ - *c.unmet_since >= 2 * c.rules.floor_wait) {
        return false;
    }
    const auto next = now_ + std::chrono::duration_cast<base::duration>(
                                 std::chrono::duration<double>{next_release_seconds()});
    return std::any_of(order_.begin(), order_.end(), [&](auto index) {
        const class_state& other = classes_[index];
        return other.rules.tier.outranks(c.rules.tier) && other.backlogged() &&
               other.queue.earliest_deadline().first < next;
    });
}

void controller::state::start_request(class_state& c) {
    const request_index i = c.queue.best();
    request& r = requests_[i];
    const bool out_of_turn = std::any_of(order_.begin(), order_.end(), [&](auto index) {
        return classes_[index].rules.tier.outranks(c.rules.tier) && classes_[index].backlogged();
    });
    c.queue.take(i);
    --queued_;
    r.running = true;
    r.started = now_;
    r.started_by_floor = out_of_turn;
    c.running_by_floor += out_of_turn ? 1 : 0;
    if (r.resumable && r.preemptions < max_preemptions) {
        c.preemptible.emplace(now_, i);
    }
    c.load.add(r.seconds, now_);
    ++c.running;
    ++c.started;
    c.unmet_since.reset();
    if (c.queue.size() > 0) {
        c.note_unmet(now_);
    }
    ++running_;
    running_seconds_ += r.seconds;
    ++workspaces_[r.workspace].running;
    block_at_limit(r.workspace);
    actions_.emplace_back(start{r.id, r.resumed});
}

void controller::state::release_slot(request_index i) {
    request& r = requests_[i];
    class_state& c = class_of(i);
    r.running = false;
    c.preemptible.erase({r.started, i});
    --c.running;
    c.running_by_floor -= r.started_by_floor ? 1 : 0;
    --running_;
    running_seconds_ = running_ == 0 ? 0 : running_seconds_ - r.seconds;
    --workspaces_[r.workspace].running;
    block_at_limit(r.workspace);
}

void controller::state::requeue(request_index i) {
    request& r = requests_[i];
    class_state& c = class_of(i);
    release_slot(i);
    // What the interrupted run used stays charged; the next start adds the estimate of the rest.
    const auto sent = static_cast<double>(r.tokens_sent);
    const double used = r.tokens_sent > 0 ? static_cast<double>(r.prompt_tokens) + sent : 0;
    const double rest = used > 0 ? std::max(r.charged - used, 1.0) : r.tokens;
    r.seconds *= std::min(rest / r.tokens, 1.0);
    r.tokens = rest;
    r.resumed = r.resumed || r.tokens_sent > 0;
    c.queue.correct(r.workspace, used - r.charged);
    workspaces_[r.workspace].tokens.charge(used + rest - r.charged);
    r.charged = used + rest;
    c.queue.push_front(i, workspaces_[r.workspace].rules.weight);
    c.note_unmet(now_);
    ++queued_;
}

void controller::state::block_at_limit(std::uint32_t workspace) {
    const workspace_state& w = workspaces_[workspace];
    if (!w.rules.limits.concurrency) {
        return;
    }
    for (auto& c : classes_) {
        c.queue.set_blocked(workspace, w.at_limit());
    }
}

void controller::state::rescue_urgent() {
    const auto next = now_ + preemption_margin * std::chrono::duration_cast<base::duration>(
                                                     std::chrono::duration<double>{next_release_seconds()});
    for (const auto index : order_) {
        class_state& c = classes_[index];
        const request_index i = c.queue.best();
        if (i != no_request && requests_[i].deadline < next) {
            preempt_and_start(requests_[i]);
            return;
        }
    }
}

bool controller::state::preempt_and_start(const request& r) {
    if (!preempt_for(class_of(requests_.find(r.id)), r)) {
        return false;
    }
    // The freed slot belongs to the head of the highest tier; the floor never takes it.
    start_request(*strict_class(false));
    return true;
}

bool controller::state::preempt_for(const class_state& c, const request& r) {
    if (running_ > usable_slots() || workspaces_[r.workspace].at_limit()) {
        return false;
    }
    const double output = std::max(r.tokens - static_cast<double>(r.prompt_tokens), 0.0);
    const double gain = output + prompt_token_cost * static_cast<double>(r.prompt_tokens);
    const request_index victim = preemption_victim(c.rules.tier, gain);
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

request_index controller::state::preemption_victim(base::tier above, double gain) {
    for (auto it = order_.rbegin(); it != order_.rend(); ++it) {
        const class_state& c = classes_[*it];
        if (!above.outranks(c.rules.tier)) {
            break;
        }
        request_index victim = no_request;
        double least = gain;
        int examined = 0;
        for (auto run = c.preemptible.rbegin(); run != c.preemptible.rend(); ++run) {
            const request& r = requests_[run->second];
            // A resumed run computes its prompt and the tokens already sent again as one prefill.
            const double elapsed = std::chrono::duration<double>{now_ - r.started}.count();
            const double processed = std::min(static_cast<double>(r.prompt_tokens + r.tokens_sent),
                                              elapsed * prompt_tokens_per_second);
            const double lost = prompt_token_cost * processed;
            if (lost < least) {
                least = lost;
                victim = run->second;
            }
            if (++examined == victims_examined) {
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
