/// @file
/// Independent record of what a controller was told and decided, used to check promises.
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
    arrival told;
    base::tier tier;
    bool running = false;
    bool done = false;
    int start_order = 0;
};

/// Drives a controller and throws `std::logic_error` as soon as a decision breaks a promise.
class model {
public:
    model(policy p, int slots) : policy_{std::move(p)}, controller_{policy_} { capacity(slots); }

    void advance(base::duration d) { now_ += d; }
    [[nodiscard]] base::time_point now() const { return now_; }

    void arrive(std::size_t class_index, const std::string& workspace, std::int64_t prompt,
                base::duration slack, bool resumable = true) {
        const auto& rules = policy_.classes[class_index % policy_.classes.size()];
        arrival a;
        a.id = base::request_id{std::to_string(1'000'000 + next_id_++)};
        a.service_class = rules.id;
        a.workspace = base::workspace_id{workspace};
        a.prompt_tokens = prompt;
        a.deadline = now_ + slack;
        a.resumable = resumable;
        requests_[a.id.str()] = {a, rules.tier};
        note_unmet(rules.id);
        arriving_ = a.id.str();
        apply(a);
        arriving_.reset();
    }

    void finish(std::size_t n, std::int64_t tokens, base::duration service) {
        if (auto* r = pick(n, true); r != nullptr) {
            r->running = false;
            r->done = true;
            apply(finished{r->told.id, tokens, service});
        }
    }
    /// Ends the run that started first.
    void finish_oldest(std::int64_t tokens, base::duration service) {
        std::size_t n = 0;
        std::size_t oldest = 0;
        int order = next_start_;
        for (const auto& [id, r] : requests_) {
            if (r.done || !r.running) {
                continue;
            }
            if (r.start_order < order) {
                order = r.start_order;
                oldest = n;
            }
            ++n;
        }
        finish(oldest, tokens, service);
    }
    void progress_to(std::size_t n, std::int64_t tokens) {
        if (auto* r = pick(n, true); r != nullptr) {
            apply(progress{r->told.id, tokens});
        }
    }
    void abandon(std::size_t n, bool running) {
        if (auto* r = pick(n, running); r != nullptr) {
            r->running = false;
            r->done = true;
            apply(cancelled{r->told.id});
        }
    }
    void give_back(std::size_t n) {
        if (auto* r = pick(n, true); r != nullptr) {
            r->running = false;
            note_unmet(r->told.service_class);
            apply(placement_failed{r->told.id});
        }
    }
    void capacity(int slots) {
        slots_ = slots;
        apply(capacity_changed{slots});
    }
    void peers(base::tier level) { apply(pressure_changed{level}); }
    void tick_now() { apply(tick{}); }

    [[nodiscard]] std::size_t count(bool running) const {
        return static_cast<std::size_t>(std::count_if(requests_.begin(), requests_.end(), [&](const auto& r) {
            return !r.second.done && r.second.running == running;
        }));
    }
    [[nodiscard]] int running_of(const std::string& workspace) const {
        return static_cast<int>(std::count_if(requests_.begin(), requests_.end(), [&](const auto& r) {
            return r.second.running && r.second.told.workspace.str() == workspace;
        }));
    }
    [[nodiscard]] status snapshot() const { return controller_.snapshot(now_); }
    [[nodiscard]] const std::vector<action>& last() const { return last_; }
    [[nodiscard]] base::duration longest_wait(const base::class_id& c) const {
        const auto it = longest_wait_.find(c);
        return it == longest_wait_.end() ? base::duration{} : it->second;
    }

private:
    static void require(bool ok, const std::string& promise) {
        if (!ok) {
            throw std::logic_error{promise};
        }
    }

    void apply(const event& e) {
        last_ = controller_.handle(e, now_);
        for (std::size_t i = 0; i < last_.size(); ++i) {
            std::visit([&](const auto& a) { check(a, i); }, last_[i]);
        }
        const auto s = controller_.snapshot(now_);
        require(s.queued == count(false) && s.running == count(true), "every request is accounted for");
    }

    void check(const start& a, std::size_t /*at*/) {
        auto& r = live(a.id);
        require(!r.running, "a running request is not started again");
        if (queued_above(r.tier)) {
            require(unmet_for(r.told.service_class) >= floor_of(r.told.service_class),
                    "P1: a lower tier starts before a queued higher one only by its floor");
        }
        r.running = true;
        r.start_order = next_start_++;
        note_start(r.told.service_class);
        require(static_cast<int>(count(true)) <= std::max(slots_, most_running_), "slots are not exceeded");
        most_running_ = static_cast<int>(count(true));
    }

    void check(const refuse& a, std::size_t /*at*/) {
        auto& r = live(a.id);
        require(!r.running, "a running request is not refused");
        r.done = true;
        using base::result_code;
        if (a.code == result_code::queue_full || a.code == result_code::shed_for_higher_tier ||
            a.code == result_code::preempted) {
            require(!queued_below(r.tier), "P1: the lowest tier is shed first");
        }
        if (a.code != result_code::route_unknown) {
            const bool expired = a.code == result_code::deadline_unreachable;
            require(a.retry_after > base::duration{} || expired, "a refusal says when to retry");
        }
        if (a.code == result_code::shed_for_higher_tier) {
            require(arriving_ && requests_.at(*arriving_).tier.outranks(r.tier),
                    "the refusal names its cause");
        }
    }

    void check(const preempt& a, std::size_t at) {
        auto& r = live(a.id);
        require(r.running && r.told.resumable, "only a running, resumable request is preempted");
        r.running = false;
        note_unmet(r.told.service_class);
        const auto* next = at + 1 < last_.size() ? std::get_if<start>(&last_[at + 1]) : nullptr;
        require(next != nullptr && live(next->id).tier.outranks(r.tier),
                "P1: the slot of a preempted request goes to a higher tier");
    }

    model_request& live(const base::request_id& id) {
        auto& r = requests_.at(id.str());
        require(!r.done, "a request has one outcome");
        return r;
    }
    model_request* pick(std::size_t n, bool running) {
        std::vector<model_request*> candidates;
        for (auto& [id, r] : requests_) {
            if (!r.done && r.running == running) {
                candidates.push_back(&r);
            }
        }
        most_running_ = static_cast<int>(count(true));
        return candidates.empty() ? nullptr : candidates[n % candidates.size()];
    }
    // A workspace at its concurrency limit is not eligible, so its queue is not counted.
    [[nodiscard]] bool eligible(const model_request& r) const {
        for (const auto& w : policy_.workspaces) {
            if (w.id == r.told.workspace && w.limits.concurrency) {
                return running_of(w.id.str()) < *w.limits.concurrency;
            }
        }
        return true;
    }
    [[nodiscard]] bool queued_above(base::tier t) const {
        return std::any_of(requests_.begin(), requests_.end(), [&](const auto& r) {
            return !r.second.done && !r.second.running && r.second.tier.outranks(t) && eligible(r.second);
        });
    }
    [[nodiscard]] bool queued_below(base::tier t) const {
        return std::any_of(requests_.begin(), requests_.end(), [&](const auto& r) {
            return !r.second.done && !r.second.running && t.outranks(r.second.tier);
        });
    }
    void note_unmet(const base::class_id& c) { unmet_.try_emplace(c, now_); }
    void note_start(const base::class_id& c) {
        longest_wait_[c] = std::max(longest_wait_[c], unmet_for(c));
        unmet_.erase(c);
        for (const auto& [id, r] : requests_) {
            if (!r.done && !r.running && r.told.service_class == c) {
                note_unmet(c);
            }
        }
    }
    [[nodiscard]] base::duration unmet_for(const base::class_id& c) const {
        const auto it = unmet_.find(c);
        return it == unmet_.end() ? base::duration{} : now_ - it->second;
    }
    [[nodiscard]] base::duration floor_of(const base::class_id& c) const {
        return std::find_if(policy_.classes.begin(), policy_.classes.end(),
                            [&](const auto& rules) { return rules.id == c; })
            ->floor_wait;
    }

    policy policy_;
    base::time_point now_{std::chrono::seconds{1000}};
    controller controller_;
    std::map<std::string, model_request> requests_;
    std::unordered_map<base::class_id, base::time_point> unmet_;
    std::unordered_map<base::class_id, base::duration> longest_wait_;
    std::vector<action> last_;
    std::optional<std::string> arriving_;
    int next_id_ = 1;
    int next_start_ = 0;
    int slots_ = 0;
    int most_running_ = 0;
};

}  // namespace chicorygap::admission::test
