/// @file
/// Reference model of the admission controller, which checks its invariants.
#pragma once

#include "admission/controller.h"

#include <algorithm>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicorygap::admission::test {

struct model_request {
    arrival arrival_event;
    base::tier tier;
    bool running = false;
    bool ended = false;
    int start_order = 0;
};

/// Sends events to a controller, records the events and the decisions independently, and throws
/// `std::logic_error` when a decision violates an invariant.
class controller_model {
public:
    controller_model(policy p, int slots) : policy_{std::move(p)}, controller_{policy_} {
        set_capacity(slots);
    }

    void advance(base::duration d) { now_ += d; }
    [[nodiscard]] base::time_point now() const { return now_; }

    void arrive(std::size_t class_index, const std::string& workspace, std::int64_t prompt_tokens,
                base::duration slack, bool resumable = true) {
        const auto& configured = policy_.classes[class_index % policy_.classes.size()];
        arrival a;
        a.id = base::request_id{std::to_string(1'000'000 + next_id_++)};
        a.service_class = configured.id;
        a.workspace = base::workspace_id{workspace};
        a.prompt_tokens = prompt_tokens;
        a.deadline = now_ + slack;
        a.resumable = resumable;
        requests_[a.id.str()] = {a, configured.tier};
        mark_unserved(configured.id);
        arriving_id_ = a.id.str();
        apply(a);
        arriving_id_.reset();
    }

    void finish(std::size_t n, std::int64_t tokens, base::duration service_time) {
        if (auto* r = select(n, true); r != nullptr) {
            r->running = false;
            r->ended = true;
            apply(finished{r->arrival_event.id, tokens, service_time});
        }
    }
    /// Finishes the running request that started first.
    void finish_oldest(std::int64_t tokens, base::duration service_time) {
        std::size_t n = 0;
        std::size_t oldest = 0;
        int order = next_start_;
        for (const auto& [id, r] : requests_) {
            if (r.ended || !r.running) {
                continue;
            }
            if (r.start_order < order) {
                order = r.start_order;
                oldest = n;
            }
            ++n;
        }
        finish(oldest, tokens, service_time);
    }
    void report_progress(std::size_t n, std::int64_t tokens) {
        if (auto* r = select(n, true); r != nullptr) {
            apply(progress{r->arrival_event.id, tokens});
        }
    }
    void cancel(std::size_t n, bool running) {
        if (auto* r = select(n, running); r != nullptr) {
            r->running = false;
            r->ended = true;
            apply(cancelled{r->arrival_event.id});
        }
    }
    void fail_placement(std::size_t n) {
        if (auto* r = select(n, true); r != nullptr) {
            r->running = false;
            mark_unserved(r->arrival_event.service_class);
            apply(placement_failed{r->arrival_event.id});
        }
    }
    void set_capacity(int slots) {
        slots_ = slots;
        apply(capacity_changed{slots});
    }
    void set_peer_level(base::tier level) { apply(pressure_changed{level}); }
    void send_tick() { apply(tick{}); }

    [[nodiscard]] std::size_t unfinished_count(bool running) const {
        return static_cast<std::size_t>(std::count_if(requests_.begin(), requests_.end(), [&](const auto& r) {
            return !r.second.ended && r.second.running == running;
        }));
    }
    [[nodiscard]] int running_count_of(const std::string& workspace) const {
        return static_cast<int>(std::count_if(requests_.begin(), requests_.end(), [&](const auto& r) {
            return r.second.running && r.second.arrival_event.workspace.str() == workspace;
        }));
    }
    [[nodiscard]] status snapshot() const { return controller_.snapshot(now_); }
    [[nodiscard]] const std::vector<action>& last_actions() const { return last_actions_; }
    [[nodiscard]] base::duration longest_wait(const base::class_id& c) const {
        const auto it = longest_wait_.find(c);
        return it == longest_wait_.end() ? base::duration{} : it->second;
    }

private:
    static void require(bool ok, const std::string& invariant) {
        if (!ok) {
            throw std::logic_error{invariant};
        }
    }

    void apply(const event& e) {
        last_actions_ = controller_.handle(e, now_);
        for (std::size_t i = 0; i < last_actions_.size(); ++i) {
            std::visit([&](const auto& a) { check_action(a, i); }, last_actions_[i]);
        }
        const auto s = controller_.snapshot(now_);
        require(s.queued == unfinished_count(false) && s.running == unfinished_count(true),
                "the queued and running counts match the model");
    }

    void check_action(const start& a, std::size_t /*index*/) {
        auto& r = find_unfinished(a.id);
        require(!r.running, "a running request is not started again");
        if (higher_tier_queued(r.tier)) {
            require(
                unserved_for(r.arrival_event.service_class) >= floor_wait_of(r.arrival_event.service_class),
                "strict priority: a lower tier starts before a queued higher tier only after its floor_wait");
        }
        r.running = true;
        r.start_order = next_start_++;
        record_start(r.arrival_event.service_class);
        require(static_cast<int>(unfinished_count(true)) <= std::max(slots_, previous_running_count_),
                "the number of running requests does not exceed the slots");
        previous_running_count_ = static_cast<int>(unfinished_count(true));
    }

    void check_action(const reject& a, std::size_t /*index*/) {
        auto& r = find_unfinished(a.id);
        require(!r.running, "a running request is not rejected");
        r.ended = true;
        using base::result_code;
        if (a.code == result_code::queue_full || a.code == result_code::shed_for_higher_tier ||
            a.code == result_code::preempted) {
            require(!lower_tier_queued(r.tier), "strict priority: the lowest tier is shed first");
        }
        if (a.code != result_code::route_unknown) {
            const bool expired = a.code == result_code::deadline_unreachable;
            require(a.retry_after > base::duration{} || expired, "a rejection has a retry time");
        }
        if (a.code == result_code::shed_for_higher_tier) {
            require(arriving_id_ && requests_.at(*arriving_id_).tier.outranks(r.tier),
                    "shed_for_higher_tier is caused by an arrival of a higher tier");
        }
    }

    void check_action(const preempt& a, std::size_t index) {
        auto& r = find_unfinished(a.id);
        require(r.running && r.arrival_event.resumable, "only a running, resumable request is preempted");
        r.running = false;
        mark_unserved(r.arrival_event.service_class);
        const auto* next =
            index + 1 < last_actions_.size() ? std::get_if<start>(&last_actions_[index + 1]) : nullptr;
        require(next != nullptr && find_unfinished(next->id).tier.outranks(r.tier),
                "strict priority: the slot of a preempted request goes to a higher tier");
    }

    model_request& find_unfinished(const base::request_id& id) {
        auto& r = requests_.at(id.str());
        require(!r.ended, "a request has only one outcome");
        return r;
    }
    model_request* select(std::size_t n, bool running) {
        std::vector<model_request*> candidates;
        for (auto& [id, r] : requests_) {
            if (!r.ended && r.running == running) {
                candidates.push_back(&r);
            }
        }
        previous_running_count_ = static_cast<int>(unfinished_count(true));
        return candidates.empty() ? nullptr : candidates[n % candidates.size()];
    }
    // Requests of a workspace at its concurrency limit cannot start and are not counted.
    [[nodiscard]] bool eligible(const model_request& r) const {
        for (const auto& w : policy_.workspaces) {
            if (w.id == r.arrival_event.workspace && w.limits.concurrency) {
                return running_count_of(w.id.str()) < *w.limits.concurrency;
            }
        }
        return true;
    }
    [[nodiscard]] bool higher_tier_queued(base::tier t) const {
        return std::any_of(requests_.begin(), requests_.end(), [&](const auto& r) {
            return !r.second.ended && !r.second.running && r.second.tier.outranks(t) && eligible(r.second);
        });
    }
    [[nodiscard]] bool lower_tier_queued(base::tier t) const {
        return std::any_of(requests_.begin(), requests_.end(), [&](const auto& r) {
            return !r.second.ended && !r.second.running && t.outranks(r.second.tier);
        });
    }
    void mark_unserved(const base::class_id& c) { unserved_since_.try_emplace(c, now_); }
    void record_start(const base::class_id& c) {
        longest_wait_[c] = std::max(longest_wait_[c], unserved_for(c));
        unserved_since_.erase(c);
        for (const auto& [id, r] : requests_) {
            if (!r.ended && !r.running && r.arrival_event.service_class == c) {
                mark_unserved(c);
            }
        }
    }
    [[nodiscard]] base::duration unserved_for(const base::class_id& c) const {
        const auto it = unserved_since_.find(c);
        return it == unserved_since_.end() ? base::duration{} : now_ - it->second;
    }
    [[nodiscard]] base::duration floor_wait_of(const base::class_id& c) const {
        return std::find_if(policy_.classes.begin(), policy_.classes.end(),
                            [&](const auto& configured) { return configured.id == c; })
            ->floor_wait;
    }

    policy policy_;
    base::time_point now_{std::chrono::seconds{1000}};
    controller controller_;
    std::map<std::string, model_request> requests_;
    std::unordered_map<base::class_id, base::time_point> unserved_since_;
    std::unordered_map<base::class_id, base::duration> longest_wait_;
    std::vector<action> last_actions_;
    std::optional<std::string> arriving_id_;
    int next_id_ = 1;
    int next_start_ = 0;
    int slots_ = 0;
    int previous_running_count_ = 0;
};

}  // namespace chicorygap::admission::test
