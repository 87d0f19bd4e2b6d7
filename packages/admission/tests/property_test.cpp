#include "model.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace chicorygap::admission {
namespace {

using namespace std::chrono_literals;
using test::model;

// rapidcheck prints the configuration with the seed of a failure; RC_PARAMS="seed=..." repeats it.
void expect_property(const std::string& name, const std::function<void()>& property) {
    EXPECT_TRUE(rc::check(name, property)) << name;
}

int between(int low, int high) {
    return *rc::gen::resize(100, rc::gen::inRange(low, high + 1));
}

policy random_policy() {
    policy p;
    const int n = between(2, 5);
    for (int i = 0; i < n; ++i) {
        class_policy c;
        c.id = base::class_id{"c" + std::to_string(i)};
        c.tier = base::tier{static_cast<std::uint8_t>(between(0, base::tier_count - 1))};
        c.floor_wait = std::chrono::milliseconds{between(100, 3000)};
        c.expected_service_time = std::chrono::milliseconds{between(10, 2000)};
        p.classes.push_back(c);
    }
    p.queue_limit = static_cast<std::size_t>(between(1, 20));
    p.ramp_time = std::chrono::milliseconds{between(1, 1000)};
    return p;
}

std::string random_workspace() {
    return "w" + std::to_string(between(0, 3));
}

void random_step(model& m) {
    switch (between(0, 11)) {
        case 0:
            return m.capacity(between(0, 6));
        case 1:
            return m.abandon(static_cast<std::size_t>(between(0, 20)), between(0, 1) == 1);
        case 2:
            return m.give_back(static_cast<std::size_t>(between(0, 20)));
        case 3:
            return m.peers(base::tier{static_cast<std::uint8_t>(between(0, 4))});
        case 4:
            return m.tick_now();
        case 5:
            return m.progress_to(static_cast<std::size_t>(between(0, 20)), between(1, 2000));
        case 6:
        case 7:
        case 8:
            return m.finish(static_cast<std::size_t>(between(0, 20)), between(1, 2000),
                            std::chrono::milliseconds{between(0, 3000)});
        default:
            return m.arrive(static_cast<std::size_t>(between(0, 9)), random_workspace(), between(1, 5000),
                            std::chrono::milliseconds{between(-10, 8000)}, between(0, 3) != 0);
    }
}

// Guards against priority inversion, double starts, lost requests and refusals without a retry time under
// any order of arrivals, departures, failed placements and capacity losses (P1).
TEST(admission_property, no_higher_tier_is_shed_or_preempted_for_a_lower_one) {
    expect_property("P1 over random events", [] {
        model m{random_policy(), between(0, 6)};
        for (int i = between(1, 150); i > 0; --i) {
            m.advance(std::chrono::milliseconds{between(0, 400)});
            random_step(m);
        }
    });
}

// Guards against starvation of a low tier by a saturated higher one (P2): with slots released at least every
// `gap`, a class with demand waits at most two floor waits, one release per class, and one run of its own
// when its floor slots are taken.
TEST(admission_property, no_class_starves) {
    expect_property("P2 under saturation", [] {
        auto p = random_policy();
        p.queue_limit = 1000;
        model m{p, between(1, 4)};
        const auto gap = std::chrono::milliseconds{between(10, 200)};
        const int steps = between(50, 150);
        for (int i = 0; i < steps; ++i) {
            for (std::size_t c = 0; c < p.classes.size(); ++c) {
                for (int n = between(1, 2); n > 0; --n) {
                    m.arrive(c, random_workspace(), between(1, 5000), 1h, between(0, 1) == 1);
                }
            }
            m.advance(gap);
            m.finish_oldest(between(1, 2000), gap);
        }
        const auto releases = gap * static_cast<int>(p.classes.size() + 4);
        for (const auto& c : p.classes) {
            const auto bound = 2 * c.floor_wait + releases;
            RC_ASSERT(m.longest_wait(c.id) <= bound);
            const auto s = m.snapshot();
            const auto it =
                std::find_if(s.classes.begin(), s.classes.end(), [&](const auto& v) { return v.id == c.id; });
            RC_ASSERT(it->unserved_for <= bound);
        }
    });
}

// Guards against a workspace that takes more than its share by sending many or long requests. The bound is
// the one of start-time fair queueing: one request of greatest length for each of the two workspaces.
TEST(admission_property, backlogged_workspaces_share_by_weight) {
    expect_property("fairness inside a class", [] {
        constexpr int requests = 200;
        constexpr int longest = 1000;  // tokens of prompt, and of output
        policy p;
        p.classes.push_back({base::class_id{"c"}, base::tier{1}});
        const int n = between(2, 4);
        for (int i = 0; i < n; ++i) {
            p.workspaces.push_back({base::workspace_id{std::to_string(i)}, double(between(1, 4)), {}});
        }
        controller c{p};
        const base::time_point now{1s};
        std::vector<int> prompts;
        for (int i = 0; i < n * requests; ++i) {
            arrival a;
            a.id = base::request_id{std::to_string(i)};
            a.service_class = base::class_id{"c"};
            a.workspace = base::workspace_id{std::to_string(i / requests)};
            a.prompt_tokens = between(1, longest);
            prompts.push_back(static_cast<int>(a.prompt_tokens));
            c.handle(a, now);
        }
        std::vector<double> served(static_cast<std::size_t>(n));
        auto actions = c.handle(capacity_changed{1}, now);
        for (int i = 0; i < requests / 2; ++i) {
            const auto id = std::get<start>(actions.front()).id;
            const auto index = static_cast<std::size_t>(std::stoi(id.str()));
            const int output = between(1, longest);
            served[index / requests] += (prompts[index] + output) / p.workspaces[index / requests].weight;
            actions = c.handle(finished{id, output, 1s}, now);
        }
        for (std::size_t i = 0; i + 1 < served.size(); ++i) {
            const double bound =
                2.0 * longest * (1 / p.workspaces[i].weight + 1 / p.workspaces[i + 1].weight);
            RC_ASSERT(std::abs(served[i] - served[i + 1]) <= bound);
        }
    });
}

// Guards against a workspace that exceeds its limits, and against one that is held below them.
TEST(admission_property, limits_hold_in_every_interval) {
    expect_property("limits per workspace", [] {
        policy p;
        p.classes.push_back({base::class_id{"c"}, base::tier{1}});
        const double rate = between(1, 20);
        const int concurrency = between(1, 5);
        p.workspaces.push_back({base::workspace_id{"w"}, 1, {rate, std::nullopt, concurrency}});
        controller c{p};
        base::time_point now{1s};
        c.handle(capacity_changed{1000}, now);
        std::vector<base::time_point> accepted;
        std::vector<base::request_id> running;
        for (int i = 0; i < 300; ++i) {
            now += std::chrono::milliseconds{between(0, 100)};
            arrival a{
                base::request_id{std::to_string(i)}, base::class_id{"c"}, base::workspace_id{"w"}, 1, {}};
            a.deadline = now + 1h;
            bool refused = false;
            for (const auto& action : c.handle(a, now)) {
                refused = refused || std::holds_alternative<refuse>(action);
                if (const auto* s = std::get_if<start>(&action)) {
                    running.push_back(s->id);
                }
            }
            if (!refused) {
                accepted.push_back(now);
            } else {
                const auto recent = std::count_if(accepted.begin(), accepted.end(),
                                                  [&](base::time_point t) { return now - t <= 1s; });
                RC_ASSERT(static_cast<double>(recent) > rate - 1);
            }
            RC_ASSERT(static_cast<int>(running.size()) <= concurrency);
            if (!running.empty() && between(0, 2) == 0) {
                const auto id = running.front();
                running.erase(running.begin());
                for (const auto& action : c.handle(finished{id, 1, 10ms}, now)) {
                    running.push_back(std::get<start>(action).id);
                }
            }
        }
        for (std::size_t i = 0; i < accepted.size(); ++i) {
            for (std::size_t k = i; k < accepted.size(); ++k) {
                const std::chrono::duration<double> span = accepted[k] - accepted[i];
                RC_ASSERT(static_cast<double>(k - i + 1) <=
                          rate * span.count() + std::max(rate, 1.0) + 0.001);
            }
        }
    });
}

// Guards against an estimate that lets a workspace draw more tokens than its limit over time.
TEST(admission_property, token_limit_counts_the_tokens_that_were_sent) {
    expect_property("tokens per second", [] {
        constexpr int longest = 500;
        policy p;
        p.classes.push_back({base::class_id{"c"}, base::tier{1}});
        const double rate = between(100, 2000);
        p.workspaces.push_back({base::workspace_id{"w"}, 1, {std::nullopt, rate, std::nullopt}});
        controller c{p};
        const base::time_point start_time{1s};
        base::time_point now = start_time;
        c.handle(capacity_changed{1}, now);
        double used = 0;
        for (int i = 0; i < 300; ++i) {
            now += std::chrono::milliseconds{between(0, 200)};
            const base::request_id id{std::to_string(i)};
            const auto actions =
                c.handle(arrival{id, base::class_id{"c"}, base::workspace_id{"w"}, 10, {}}, now);
            if (std::holds_alternative<start>(actions.front())) {
                const int output = between(1, longest);
                c.handle(finished{id, output, 100ms}, now);
                used += 10 + output;
            }
        }
        const std::chrono::duration<double> span = now - start_time;
        RC_ASSERT(used <= rate * span.count() + rate + 10 + longest);
        RC_ASSERT(used >= std::min(rate * span.count() * 0.5, 300.0 * 10));
    });
}

}  // namespace
}  // namespace chicorygap::admission
