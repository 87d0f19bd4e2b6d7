#include "controller_model.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace chicorygap::admission {
namespace {

using namespace std::chrono_literals;
using test::controller_model;

// On a failure, rapidcheck prints its configuration with the seed; RC_PARAMS="seed=..." reproduces the run.
void check_property(const std::string& name, const std::function<void()>& property) {
    EXPECT_TRUE(rc::check(name, property)) << name;
}

int random_int(int low, int high) {
    return *rc::gen::resize(100, rc::gen::inRange(low, high + 1));
}

policy random_policy() {
    policy p;
    const int n = random_int(2, 5);
    for (int i = 0; i < n; ++i) {
        class_policy c;
        c.id = base::class_id{"c" + std::to_string(i)};
        c.tier = base::tier{static_cast<std::uint8_t>(random_int(0, base::tier_count - 1))};
        c.floor_wait = std::chrono::milliseconds{random_int(100, 3000)};
        c.expected_service_time = std::chrono::milliseconds{random_int(10, 2000)};
        p.classes.push_back(c);
    }
    p.queue_limit = static_cast<std::size_t>(random_int(1, 20));
    p.ramp_time = std::chrono::milliseconds{random_int(1, 1000)};
    return p;
}

std::string random_workspace() {
    return "w" + std::to_string(random_int(0, 3));
}

void random_event(controller_model& m) {
    switch (random_int(0, 11)) {
        case 0:
            return m.set_capacity(random_int(0, 6));
        case 1:
            return m.cancel(static_cast<std::size_t>(random_int(0, 20)), random_int(0, 1) == 1);
        case 2:
            return m.fail_placement(static_cast<std::size_t>(random_int(0, 20)));
        case 3:
            return m.set_peer_level(base::tier{static_cast<std::uint8_t>(random_int(0, 4))});
        case 4:
            return m.send_tick();
        case 5:
            return m.report_progress(static_cast<std::size_t>(random_int(0, 20)), random_int(1, 2000));
        case 6:
        case 7:
        case 8:
            return m.finish(static_cast<std::size_t>(random_int(0, 20)), random_int(1, 2000),
                            std::chrono::milliseconds{random_int(0, 3000)});
        default:
            return m.arrive(static_cast<std::size_t>(random_int(0, 9)), random_workspace(),
                            random_int(1, 5000), std::chrono::milliseconds{random_int(-10, 8000)},
                            random_int(0, 3) != 0);
    }
}

// Guards against priority inversion, duplicate starts, lost requests and rejections without a retry time
// under any order of arrivals, cancellations, failed placements and capacity changes.
TEST(admission_property, no_higher_tier_is_shed_or_preempted_for_a_lower_one) {
    check_property("strict priority under random events", [] {
        controller_model m{random_policy(), random_int(0, 6)};
        for (int i = random_int(1, 150); i > 0; --i) {
            m.advance(std::chrono::milliseconds{random_int(0, 400)});
            random_event(m);
        }
    });
}

// Guards against starvation of a low tier by a saturated higher tier. If a slot is released at least every
// `release_interval`, a class with demand waits at most twice its `floor_wait`, plus one release per class,
// plus one of its own requests if its floor slots are in use.
TEST(admission_property, no_class_starves) {
    check_property("no starvation under saturation", [] {
        auto p = random_policy();
        p.queue_limit = 1000;
        controller_model m{p, random_int(1, 4)};
        const auto release_interval = std::chrono::milliseconds{random_int(10, 200)};
        const int steps = random_int(50, 150);
        for (int i = 0; i < steps; ++i) {
            for (std::size_t c = 0; c < p.classes.size(); ++c) {
                for (int n = random_int(1, 2); n > 0; --n) {
                    m.arrive(c, random_workspace(), random_int(1, 5000), 1h, random_int(0, 1) == 1);
                }
            }
            m.advance(release_interval);
            m.finish_oldest(random_int(1, 2000), release_interval);
        }
        const auto release_time = release_interval * static_cast<int>(p.classes.size() + 4);
        for (const auto& c : p.classes) {
            const auto bound = 2 * c.floor_wait + release_time;
            RC_ASSERT(m.longest_wait(c.id) <= bound);
            const auto s = m.snapshot();
            const auto it =
                std::find_if(s.classes.begin(), s.classes.end(), [&](const auto& v) { return v.id == c.id; });
            RC_ASSERT(it->unserved_for <= bound);
        }
    });
}

// Guards against a workspace that gets more than its share by sending many or long requests. The bound is
// that of start-time fair queueing: one request of maximum length for each of the two workspaces.
TEST(admission_property, backlogged_workspaces_share_by_weight) {
    check_property("weighted fairness of the workspaces of a class", [] {
        constexpr int requests_per_workspace = 200;
        constexpr int max_tokens = 1000;  // maximum length of a prompt, and of an output
        policy p;
        p.classes.push_back({base::class_id{"c"}, base::tier{1}});
        const int n = random_int(2, 4);
        for (int i = 0; i < n; ++i) {
            p.workspaces.push_back({base::workspace_id{std::to_string(i)}, double(random_int(1, 4)), {}});
        }
        controller c{p};
        const base::time_point now{1s};
        std::vector<int> prompts;
        for (int i = 0; i < n * requests_per_workspace; ++i) {
            arrival a;
            a.id = base::request_id{std::to_string(i)};
            a.service_class = base::class_id{"c"};
            a.workspace = base::workspace_id{std::to_string(i / requests_per_workspace)};
            a.prompt_tokens = random_int(1, max_tokens);
            prompts.push_back(static_cast<int>(a.prompt_tokens));
            c.handle(a, now);
        }
        std::vector<double> served(static_cast<std::size_t>(n));
        auto actions = c.handle(capacity_changed{1}, now);
        for (int i = 0; i < requests_per_workspace / 2; ++i) {
            const auto id = std::get<start>(actions.front()).id;
            const auto index = static_cast<std::size_t>(std::stoi(id.str()));
            const int output = random_int(1, max_tokens);
            served[index / requests_per_workspace] +=
                (prompts[index] + output) / p.workspaces[index / requests_per_workspace].weight;
            actions = c.handle(finished{id, output, 1s}, now);
        }
        for (std::size_t i = 0; i + 1 < served.size(); ++i) {
            const double bound =
                2.0 * max_tokens * (1 / p.workspaces[i].weight + 1 / p.workspaces[i + 1].weight);
            RC_ASSERT(std::abs(served[i] - served[i + 1]) <= bound);
        }
    });
}

// Guards against a workspace that exceeds its limits, and against one that is rejected below its limits.
TEST(admission_property, limits_hold_in_every_interval) {
    check_property("request rate and concurrency limits per workspace", [] {
        policy p;
        p.classes.push_back({base::class_id{"c"}, base::tier{1}});
        const double rate = random_int(1, 20);
        const int concurrency = random_int(1, 5);
        p.workspaces.push_back({base::workspace_id{"w"}, 1, {rate, std::nullopt, concurrency}});
        controller c{p};
        base::time_point now{1s};
        c.handle(capacity_changed{1000}, now);
        std::vector<base::time_point> accepted;
        std::vector<base::request_id> running;
        for (int i = 0; i < 300; ++i) {
            now += std::chrono::milliseconds{random_int(0, 100)};
            arrival a{
                base::request_id{std::to_string(i)}, base::class_id{"c"}, base::workspace_id{"w"}, 1, {}};
            a.deadline = now + 1h;
            bool rejected = false;
            for (const auto& action : c.handle(a, now)) {
                rejected = rejected || std::holds_alternative<reject>(action);
                if (const auto* s = std::get_if<start>(&action)) {
                    running.push_back(s->id);
                }
            }
            if (!rejected) {
                accepted.push_back(now);
            } else {
                const auto recent = std::count_if(accepted.begin(), accepted.end(),
                                                  [&](base::time_point t) { return now - t <= 1s; });
                RC_ASSERT(static_cast<double>(recent) > rate - 1);
            }
            RC_ASSERT(static_cast<int>(running.size()) <= concurrency);
            if (!running.empty() && random_int(0, 2) == 0) {
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

// Guards against charging estimated instead of actual tokens, which would let a workspace exceed its token
// rate over time.
TEST(admission_property, token_limit_counts_the_tokens_that_were_sent) {
    check_property("token rate limit per workspace", [] {
        constexpr int max_tokens = 500;
        policy p;
        p.classes.push_back({base::class_id{"c"}, base::tier{1}});
        const double rate = random_int(100, 2000);
        p.workspaces.push_back({base::workspace_id{"w"}, 1, {std::nullopt, rate, std::nullopt}});
        controller c{p};
        const base::time_point start_time{1s};
        base::time_point now = start_time;
        c.handle(capacity_changed{1}, now);
        double used_tokens = 0;
        for (int i = 0; i < 300; ++i) {
            now += std::chrono::milliseconds{random_int(0, 200)};
            const base::request_id id{std::to_string(i)};
            const auto actions =
                c.handle(arrival{id, base::class_id{"c"}, base::workspace_id{"w"}, 10, {}}, now);
            if (std::holds_alternative<start>(actions.front())) {
                const int output = random_int(1, max_tokens);
                c.handle(finished{id, output, 100ms}, now);
                used_tokens += 10 + output;
            }
        }
        const std::chrono::duration<double> span = now - start_time;
        RC_ASSERT(used_tokens <= rate * span.count() + rate + 10 + max_tokens);
        RC_ASSERT(used_tokens >= std::min(rate * span.count() * 0.5, 300.0 * 10));
    });
}

}  // namespace
}  // namespace chicorygap::admission
