#include "admission/controller.h"

#include <gtest/gtest.h>

namespace chicorygap::admission {
namespace {

using namespace std::chrono_literals;

const base::class_id urgent{"urgent"};
const base::class_id batch{"batch"};
const base::time_point t0{1000s};

policy two_tiers() {
    policy p;
    p.classes.push_back({urgent, base::tier{0}});
    p.classes.push_back({batch, base::tier{3}});
    return p;
}

arrival request_of(const std::string& id, const base::class_id& c, const std::string& workspace = "north") {
    arrival a;
    a.id = base::request_id{id};
    a.service_class = c;
    a.workspace = base::workspace_id{workspace};
    a.prompt_tokens = 100;
    return a;
}

template <typename T>
std::vector<std::string> ids(const std::vector<action>& actions) {
    std::vector<std::string> out;
    for (const auto& a : actions) {
        if (const auto* v = std::get_if<T>(&a)) {
            out.push_back(v->id.str());
        }
    }
    return out;
}

using names = std::vector<std::string>;

// Guards against a lower tier overtaking a waiting higher one (P1).
TEST(controller, free_slot_goes_to_the_highest_tier) {
    controller c{two_tiers()};
    c.handle(capacity_changed{1}, t0);
    EXPECT_EQ(ids<start>(c.handle(request_of("b1", batch), t0)), names{"b1"});
    c.handle(request_of("b2", batch), t0);
    c.handle(request_of("u1", urgent), t0);
    EXPECT_EQ(ids<start>(c.handle(finished{base::request_id{"b1"}, 10, 1s}, t0 + 1s)), names{"u1"});
}

// Guards against accepting work that cannot start in time, and against a refusal without a retry time.
TEST(controller, refuses_early_when_the_predicted_start_is_after_the_deadline) {
    controller c{two_tiers()};
    c.handle(capacity_changed{1}, t0);
    c.handle(request_of("b1", batch), t0);
    auto late = request_of("b2", batch);
    late.deadline = t0 + 100ms;
    const auto actions = c.handle(late, t0);
    ASSERT_EQ(actions.size(), 1U);
    const auto& r = std::get<refuse>(actions.front());
    EXPECT_EQ(r.code, base::result_code::deadline_unreachable);
    EXPECT_GT(r.retry_after, 0s);
}

// Guards against shedding a higher tier while lower work is queued.
TEST(controller, full_queue_sheds_the_lowest_tier) {
    auto p = two_tiers();
    p.queue_limit = 2;
    controller c{p};
    c.handle(capacity_changed{1}, t0);
    c.handle(request_of("u0", urgent), t0);
    c.handle(request_of("b1", batch), t0);
    c.handle(request_of("b2", batch), t0);
    const auto actions = c.handle(request_of("u1", urgent), t0);
    EXPECT_EQ(ids<refuse>(actions), names{"b2"});
}

// Guards against an urgent request that misses its target behind long batch work, and against lost progress.
TEST(controller, preempts_when_the_urgent_request_gains_more_than_is_discarded) {
    controller c{two_tiers()};
    c.handle(capacity_changed{1}, t0);
    c.handle(request_of("b1", batch), t0);
    c.handle(progress{base::request_id{"b1"}, 50}, t0 + 100ms);
    auto u = request_of("u1", urgent);
    u.deadline = t0 + 200ms;
    const auto actions = c.handle(u, t0 + 100ms);
    EXPECT_EQ(ids<preempt>(actions), names{"b1"});
    EXPECT_EQ(ids<start>(actions), names{"u1"});
    const auto after = c.handle(finished{base::request_id{"u1"}, 10, 1s}, t0 + 1s);
    ASSERT_EQ(ids<start>(after), names{"b1"});
    EXPECT_TRUE(std::get<start>(after.front()).resumed);
}

// Guards against discarding a long run for a short request.
TEST(controller, keeps_a_run_whose_loss_exceeds_the_gain) {
    controller c{two_tiers()};
    c.handle(capacity_changed{1}, t0);
    auto b = request_of("b1", batch);
    b.prompt_tokens = 100'000;
    c.handle(b, t0);
    auto u = request_of("u1", urgent);
    u.deadline = t0 + 20s + 200ms;
    u.max_output_tokens = 10;
    EXPECT_EQ(ids<preempt>(c.handle(u, t0 + 20s)), names{});
}

// Guards against running a request twice that cannot be resumed.
TEST(controller, never_preempts_a_request_that_cannot_resume) {
    controller c{two_tiers()};
    c.handle(capacity_changed{1}, t0);
    auto b = request_of("b1", batch);
    b.resumable = false;
    c.handle(b, t0);
    auto u = request_of("u1", urgent);
    u.deadline = t0 + 200ms;
    EXPECT_EQ(ids<preempt>(c.handle(u, t0)), names{});
}

// Guards against admitting a low tier while another daemon of the zone sheds a higher one (P1).
TEST(controller, a_peer_under_pressure_closes_lower_tiers) {
    controller c{two_tiers()};
    c.handle(capacity_changed{4}, t0);
    c.handle(pressure_changed{base::tier{0}}, t0);
    const auto refused = c.handle(request_of("b1", batch), t0);
    ASSERT_EQ(ids<refuse>(refused), names{"b1"});
    EXPECT_EQ(std::get<refuse>(refused.front()).code, base::result_code::tier_closed);
    EXPECT_EQ(ids<start>(c.handle(request_of("u1", urgent), t0)), names{"u1"});
    EXPECT_EQ(ids<start>(c.handle(request_of("b2", batch), t0 + 6s)), names{"b2"});
}

// Guards against starvation of a tier that stays closed (P2).
TEST(controller, a_closed_tier_is_probed_after_its_floor_wait) {
    controller c{two_tiers()};
    c.handle(capacity_changed{4}, t0);
    c.handle(pressure_changed{base::tier{0}}, t0);
    c.handle(request_of("b1", batch), t0);
    c.handle(pressure_changed{base::tier{0}}, t0 + 4s);
    EXPECT_EQ(ids<start>(c.handle(request_of("b2", batch), t0 + 5s)), names{"b2"});
    EXPECT_EQ(ids<refuse>(c.handle(request_of("b3", batch), t0 + 5s)), names{"b3"});
}

// Guards against hiding an overload of this daemon from its peers.
TEST(controller, reports_the_tier_that_it_sheds) {
    controller c{two_tiers()};
    c.handle(capacity_changed{1}, t0);
    c.handle(request_of("u0", urgent), t0);
    auto late = request_of("u1", urgent);
    late.deadline = t0 + 1ms;
    c.handle(late, t0);
    EXPECT_EQ(c.snapshot(t0).pressure, base::tier{0});
    EXPECT_EQ(c.snapshot(t0 + 1s).pressure, base::tier{4});
}

// Guards against spending slots on callers that have left, and on work that is too late.
TEST(controller, abandoned_and_expired_requests_never_start) {
    controller c{two_tiers()};
    c.handle(capacity_changed{1}, t0);
    c.handle(request_of("b1", batch), t0);
    c.handle(request_of("b2", batch), t0);
    auto b3 = request_of("b3", batch);
    b3.deadline = t0 + 6s;
    c.handle(b3, t0);
    c.handle(request_of("b4", batch), t0);
    EXPECT_TRUE(c.handle(cancelled{base::request_id{"b2"}}, t0 + 1s).empty());
    const auto actions = c.handle(finished{base::request_id{"b1"}, 10, 7s}, t0 + 7s);
    EXPECT_EQ(ids<refuse>(actions), names{"b3"});
    EXPECT_EQ(ids<start>(actions), names{"b4"});
}

// Guards against a burst on servers that have just returned.
TEST(controller, returned_capacity_is_used_gradually_under_a_backlog) {
    controller c{two_tiers()};
    c.handle(capacity_changed{1}, t0);
    for (int i = 0; i < 100; ++i) {
        c.handle(request_of("b" + std::to_string(i), batch), t0);
    }
    c.handle(capacity_changed{40}, t0);
    EXPECT_LE(c.snapshot(t0).running, 2U);
    c.handle(tick{}, t0 + 1s);
    EXPECT_NEAR(static_cast<double>(c.snapshot(t0 + 1s).running), 20, 2);
    c.handle(tick{}, t0 + 2s);
    EXPECT_EQ(c.snapshot(t0 + 2s).running, 40U);
}

// Guards against a daemon that uses the whole fleet's limit.
TEST(controller, limits_are_reduced_to_the_daemons_share) {
    auto p = two_tiers();
    p.workspaces.push_back({base::workspace_id{"north"}, 1, {std::nullopt, std::nullopt, 10}});
    controller c{p};
    c.handle(limit_share_changed{base::workspace_id{"north"}, 0.2}, t0);
    c.handle(capacity_changed{10}, t0);
    for (int i = 0; i < 5; ++i) {
        c.handle(request_of("b" + std::to_string(i), batch), t0);
    }
    EXPECT_EQ(c.snapshot(t0).running, 2U);
}

// Guards against a flooding workspace that pushes others out of a full queue.
TEST(controller, a_full_queue_sheds_the_workspace_with_the_largest_backlog) {
    auto p = two_tiers();
    p.queue_limit = 3;
    controller c{p};
    c.handle(capacity_changed{1}, t0);
    for (int i = 0; i < 4; ++i) {
        c.handle(request_of("flood" + std::to_string(i), batch, "flood"), t0);
    }
    EXPECT_EQ(ids<refuse>(c.handle(request_of("quiet", batch, "quiet"), t0)), names{"flood3"});
}

// Guards against a Retry-After at which the same request is refused again.
TEST(controller, a_request_that_returns_after_its_retry_time_is_accepted) {
    controller c{two_tiers()};
    c.handle(capacity_changed{1}, t0);
    c.handle(request_of("b0", batch), t0);
    c.handle(request_of("b1", batch), t0);
    auto late = request_of("b2", batch);
    late.deadline = t0 + 1s;
    const auto refused = std::get<refuse>(c.handle(late, t0).front());
    c.handle(finished{base::request_id{"b0"}, 256, 2s}, t0 + 2s);
    const auto again = t0 + std::max<base::duration>(refused.retry_after, 2s);
    late.deadline = again + 1s;
    EXPECT_EQ(ids<refuse>(c.handle(late, again)), names{});
}

// Guards against a burst of a low tier that fills every slot while urgent requests keep arriving.
TEST(controller, a_low_tier_leaves_slots_for_the_load_of_a_higher_one) {
    auto p = two_tiers();
    p.classes[0].expected_service_time = 5s;
    controller c{p};
    c.handle(capacity_changed{20}, t0);
    for (int i = 0; i < 5; ++i) {
        c.handle(request_of("u" + std::to_string(i), urgent), t0);
        c.handle(finished{base::request_id{"u" + std::to_string(i)}, 256, 5s}, t0);
    }
    for (int i = 0; i < 30; ++i) {
        c.handle(request_of("b" + std::to_string(i), batch), t0);
    }
    EXPECT_EQ(c.snapshot(t0).running, 15U);  // the urgent class occupies five slots on average
    EXPECT_EQ(ids<start>(c.handle(request_of("u9", urgent), t0)), names{"u9"});
}

// Guards against a removed class whose queued requests never get an answer.
TEST(controller, a_removed_class_refuses_its_queue) {
    auto p = two_tiers();
    controller c{p};
    c.handle(capacity_changed{1}, t0);
    c.handle(request_of("b1", batch), t0);
    c.handle(request_of("b2", batch), t0);
    p.classes.pop_back();
    EXPECT_EQ(ids<refuse>(c.handle(policy_changed{p}, t0)), names{"b2"});
    c.handle(finished{base::request_id{"b1"}, 10, 1s}, t0);
    EXPECT_EQ(c.snapshot(t0).running, 0U);
}

}  // namespace
}  // namespace chicorygap::admission
