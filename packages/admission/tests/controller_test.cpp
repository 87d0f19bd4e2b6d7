#include "admission/controller.h"

#include <gtest/gtest.h>

namespace chicorygap::admission {
namespace {

using namespace std::chrono_literals;

const base::class_id urgent{"urgent"};
const base::class_id batch{"batch"};
const base::time_point start_time{1000s};

policy two_tier_policy() {
    policy p;
    p.classes.push_back({urgent, base::tier{0}});
    p.classes.push_back({batch, base::tier{3}});
    return p;
}

arrival make_arrival(const std::string& id, const base::class_id& c, const std::string& workspace = "north") {
    arrival a;
    a.id = base::request_id{id};
    a.service_class = c;
    a.workspace = base::workspace_id{workspace};
    a.prompt_tokens = 100;
    return a;
}

template <typename T>
std::vector<std::string> ids_of(const std::vector<action>& actions) {
    std::vector<std::string> out;
    for (const auto& a : actions) {
        if (const auto* v = std::get_if<T>(&a)) {
            out.push_back(v->id.str());
        }
    }
    return out;
}

using id_list = std::vector<std::string>;

// Guards against a lower tier that starts before a queued request of a higher tier.
TEST(controller, free_slot_goes_to_the_highest_tier) {
    controller c{two_tier_policy()};
    c.handle(capacity_changed{1}, start_time);
    EXPECT_EQ(ids_of<start>(c.handle(make_arrival("b1", batch), start_time)), id_list{"b1"});
    c.handle(make_arrival("b2", batch), start_time);
    c.handle(make_arrival("u1", urgent), start_time);
    EXPECT_EQ(ids_of<start>(c.handle(finished{base::request_id{"b1"}, 10, 1s}, start_time + 1s)),
              id_list{"u1"});
}

// Guards against queueing a request that cannot start before its deadline, and against a rejection without a
// retry time.
TEST(controller, rejects_early_when_the_predicted_start_is_after_the_deadline) {
    controller c{two_tier_policy()};
    c.handle(capacity_changed{1}, start_time);
    c.handle(make_arrival("b1", batch), start_time);
    auto late = make_arrival("b2", batch);
    late.deadline = start_time + 100ms;
    const auto actions = c.handle(late, start_time);
    ASSERT_EQ(actions.size(), 1U);
    const auto& r = std::get<reject>(actions.front());
    EXPECT_EQ(r.code, base::result_code::deadline_unreachable);
    EXPECT_GT(r.retry_after, 0s);
}

// Guards against shedding a higher tier while requests of a lower tier are queued.
TEST(controller, full_queue_sheds_the_lowest_tier) {
    auto p = two_tier_policy();
    p.queue_limit = 2;
    controller c{p};
    c.handle(capacity_changed{1}, start_time);
    c.handle(make_arrival("u0", urgent), start_time);
    c.handle(make_arrival("b1", batch), start_time);
    c.handle(make_arrival("b2", batch), start_time);
    const auto actions = c.handle(make_arrival("u1", urgent), start_time);
    EXPECT_EQ(ids_of<reject>(actions), id_list{"b2"});
}

// Guards against an urgent request that misses its deadline behind a long batch request, and against a
// preempted request that restarts instead of resuming.
TEST(controller, preempts_when_the_gain_exceeds_the_lost_work) {
    controller c{two_tier_policy()};
    c.handle(capacity_changed{1}, start_time);
    c.handle(make_arrival("b1", batch), start_time);
    c.handle(progress{base::request_id{"b1"}, 50}, start_time + 100ms);
    auto u = make_arrival("u1", urgent);
    u.deadline = start_time + 200ms;
    const auto actions = c.handle(u, start_time + 100ms);
    EXPECT_EQ(ids_of<preempt>(actions), id_list{"b1"});
    EXPECT_EQ(ids_of<start>(actions), id_list{"u1"});
    const auto after = c.handle(finished{base::request_id{"u1"}, 10, 1s}, start_time + 1s);
    ASSERT_EQ(ids_of<start>(after), id_list{"b1"});
    EXPECT_TRUE(std::get<start>(after.front()).resumed);
}

// Guards against preempting a request with a long prompt in favour of a short request.
TEST(controller, does_not_preempt_when_the_loss_exceeds_the_gain) {
    controller c{two_tier_policy()};
    c.handle(capacity_changed{1}, start_time);
    auto b = make_arrival("b1", batch);
    b.prompt_tokens = 100'000;
    c.handle(b, start_time);
    auto u = make_arrival("u1", urgent);
    u.deadline = start_time + 20s + 200ms;
    u.max_output_tokens = 10;
    EXPECT_EQ(ids_of<preempt>(c.handle(u, start_time + 20s)), id_list{});
}

// Guards against running a request a second time that cannot be resumed.
TEST(controller, never_preempts_a_request_that_cannot_resume) {
    controller c{two_tier_policy()};
    c.handle(capacity_changed{1}, start_time);
    auto b = make_arrival("b1", batch);
    b.resumable = false;
    c.handle(b, start_time);
    auto u = make_arrival("u1", urgent);
    u.deadline = start_time + 200ms;
    EXPECT_EQ(ids_of<preempt>(c.handle(u, start_time)), id_list{});
}

// Guards against admitting a low tier while another daemon of the zone sheds a higher tier.
TEST(controller, the_pressure_level_of_the_peers_closes_lower_tiers) {
    controller c{two_tier_policy()};
    c.handle(capacity_changed{4}, start_time);
    c.handle(pressure_changed{base::tier{0}}, start_time);
    const auto rejected = c.handle(make_arrival("b1", batch), start_time);
    ASSERT_EQ(ids_of<reject>(rejected), id_list{"b1"});
    EXPECT_EQ(std::get<reject>(rejected.front()).code, base::result_code::tier_closed);
    EXPECT_EQ(ids_of<start>(c.handle(make_arrival("u1", urgent), start_time)), id_list{"u1"});
    EXPECT_EQ(ids_of<start>(c.handle(make_arrival("b2", batch), start_time + 6s)), id_list{"b2"});
}

// Guards against starvation of a tier that stays closed.
TEST(controller, a_closed_tier_admits_one_request_after_its_floor_wait) {
    controller c{two_tier_policy()};
    c.handle(capacity_changed{4}, start_time);
    c.handle(pressure_changed{base::tier{0}}, start_time);
    c.handle(make_arrival("b1", batch), start_time);
    c.handle(pressure_changed{base::tier{0}}, start_time + 4s);
    EXPECT_EQ(ids_of<start>(c.handle(make_arrival("b2", batch), start_time + 5s)), id_list{"b2"});
    EXPECT_EQ(ids_of<reject>(c.handle(make_arrival("b3", batch), start_time + 5s)), id_list{"b3"});
}

// Guards against not reporting an overload of this daemon to its peers.
TEST(controller, reports_the_tier_that_it_rejects) {
    controller c{two_tier_policy()};
    c.handle(capacity_changed{1}, start_time);
    c.handle(make_arrival("u0", urgent), start_time);
    auto late = make_arrival("u1", urgent);
    late.deadline = start_time + 1ms;
    c.handle(late, start_time);
    EXPECT_EQ(c.snapshot(start_time).pressure, base::tier{0});
    EXPECT_EQ(c.snapshot(start_time + 1s).pressure, base::tier{4});
}

// Guards against starting requests that were cancelled or whose deadline has passed.
TEST(controller, cancelled_and_expired_requests_never_start) {
    controller c{two_tier_policy()};
    c.handle(capacity_changed{1}, start_time);
    c.handle(make_arrival("b1", batch), start_time);
    c.handle(make_arrival("b2", batch), start_time);
    auto b3 = make_arrival("b3", batch);
    b3.deadline = start_time + 6s;
    c.handle(b3, start_time);
    c.handle(make_arrival("b4", batch), start_time);
    EXPECT_TRUE(c.handle(cancelled{base::request_id{"b2"}}, start_time + 1s).empty());
    const auto actions = c.handle(finished{base::request_id{"b1"}, 10, 7s}, start_time + 7s);
    EXPECT_EQ(ids_of<reject>(actions), id_list{"b3"});
    EXPECT_EQ(ids_of<start>(actions), id_list{"b4"});
}

// Guards against a burst of requests to servers that have just recovered.
TEST(controller, added_capacity_is_used_gradually_under_a_backlog) {
    controller c{two_tier_policy()};
    c.handle(capacity_changed{1}, start_time);
    for (int i = 0; i < 100; ++i) {
        c.handle(make_arrival("b" + std::to_string(i), batch), start_time);
    }
    c.handle(capacity_changed{40}, start_time);
    EXPECT_LE(c.snapshot(start_time).running, 2U);
    c.handle(tick{}, start_time + 1s);
    EXPECT_NEAR(static_cast<double>(c.snapshot(start_time + 1s).running), 20, 2);
    c.handle(tick{}, start_time + 2s);
    EXPECT_EQ(c.snapshot(start_time + 2s).running, 40U);
}

// Guards against a daemon that uses the whole fleet-wide limit by itself.
TEST(controller, limits_are_scaled_to_the_share_of_the_daemon) {
    auto p = two_tier_policy();
    p.workspaces.push_back({base::workspace_id{"north"}, 1, {std::nullopt, std::nullopt, 10}});
    controller c{p};
    c.handle(limit_share_changed{base::workspace_id{"north"}, 0.2}, start_time);
    c.handle(capacity_changed{10}, start_time);
    for (int i = 0; i < 5; ++i) {
        c.handle(make_arrival("b" + std::to_string(i), batch), start_time);
    }
    EXPECT_EQ(c.snapshot(start_time).running, 2U);
}

// Guards against a workspace with many requests that displaces those of others from a full queue.
TEST(controller, a_full_queue_sheds_the_workspace_with_the_largest_backlog) {
    auto p = two_tier_policy();
    p.queue_limit = 3;
    controller c{p};
    c.handle(capacity_changed{1}, start_time);
    for (int i = 0; i < 4; ++i) {
        c.handle(make_arrival("flood" + std::to_string(i), batch, "flood"), start_time);
    }
    EXPECT_EQ(ids_of<reject>(c.handle(make_arrival("quiet", batch, "quiet"), start_time)), id_list{"flood3"});
}

// Guards against a retry time after which the same request is rejected again.
TEST(controller, a_request_retried_after_its_retry_time_is_accepted) {
    controller c{two_tier_policy()};
    c.handle(capacity_changed{1}, start_time);
    c.handle(make_arrival("b0", batch), start_time);
    c.handle(make_arrival("b1", batch), start_time);
    auto late = make_arrival("b2", batch);
    late.deadline = start_time + 1s;
    const auto rejected = std::get<reject>(c.handle(late, start_time).front());
    c.handle(finished{base::request_id{"b0"}, 256, 2s}, start_time + 2s);
    const auto again = start_time + std::max<base::duration>(rejected.retry_after, 2s);
    late.deadline = again + 1s;
    EXPECT_EQ(ids_of<reject>(c.handle(late, again)), id_list{});
}

// Guards against a burst of a low tier that occupies every slot while urgent requests keep arriving.
TEST(controller, a_low_tier_leaves_slots_free_for_the_load_of_a_higher_tier) {
    auto p = two_tier_policy();
    p.classes[0].expected_service_time = 5s;
    controller c{p};
    c.handle(capacity_changed{20}, start_time);
    for (int i = 0; i < 5; ++i) {
        c.handle(make_arrival("u" + std::to_string(i), urgent), start_time);
        c.handle(finished{base::request_id{"u" + std::to_string(i)}, 256, 5s}, start_time);
    }
    for (int i = 0; i < 30; ++i) {
        c.handle(make_arrival("b" + std::to_string(i), batch), start_time);
    }
    EXPECT_EQ(c.snapshot(start_time).running, 15U);  // the urgent class occupies five slots on average
    EXPECT_EQ(ids_of<start>(c.handle(make_arrival("u9", urgent), start_time)), id_list{"u9"});
}

// Guards against queued requests of a removed class that are never answered.
TEST(controller, a_removed_class_rejects_its_queue) {
    auto p = two_tier_policy();
    controller c{p};
    c.handle(capacity_changed{1}, start_time);
    c.handle(make_arrival("b1", batch), start_time);
    c.handle(make_arrival("b2", batch), start_time);
    p.classes.pop_back();
    EXPECT_EQ(ids_of<reject>(c.handle(policy_changed{p}, start_time)), id_list{"b2"});
    c.handle(finished{base::request_id{"b1"}, 10, 1s}, start_time);
    EXPECT_EQ(c.snapshot(start_time).running, 0U);
}

}  // namespace
}  // namespace chicorygap::admission
