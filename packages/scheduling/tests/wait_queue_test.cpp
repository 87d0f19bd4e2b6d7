#include "../src/wait_queue.h"

#include "shared_machines_fixture.h"

namespace chicorygap::scheduling {
namespace {

struct wait_queue_test : testing::Test {
    wait_queue queue;
    std::uint64_t last_id = 0;

    local_request_id push(base::duration for_target, const std::string& workspace = "w",
                          std::uint8_t rank = 1) {
        scheduled_request r;
        r.id = local_request_id{++last_id};
        r.priority_rank = rank;
        r.workspace = base::workspace_id{workspace};
        queue.push(r.id, r, {.latest = start_time + 10s, .for_target = start_time + for_target});
        return r.id;
    }

    local_request_id start_next() {
        auto next = local_request_id::none;
        queue.visit([&](local_request_id id) {
            next = id;
            return false;
        });
        queue.start(next);
        return next;
    }
};

// Load: a burst that is longer than the targets. Guards against all requests being late because those at the
// front already are.
TEST_F(wait_queue_test, requests_that_can_meet_their_target_start_before_late_ones) {
    const auto late = push(100ms, "a");
    const auto later_target = push(900ms, "b");
    const auto earlier_target = push(600ms, "c");
    queue.update_late(start_time + 200ms);
    EXPECT_EQ(queue.count_ahead(1), 2U);
    EXPECT_EQ(start_next(), earlier_target);
    EXPECT_EQ(start_next(), later_target);
    EXPECT_EQ(start_next(), late);
    EXPECT_TRUE(queue.empty());
}

TEST_F(wait_queue_test, rank_and_turns_of_workspaces_come_before_targets) {
    const auto first = push(900ms, "a");
    const auto second_of_a = push(300ms, "a");
    const auto other = push(800ms, "b");
    const auto urgent = push(950ms, "c", 0);
    EXPECT_EQ(start_next(), urgent);
    EXPECT_EQ(start_next(), other);
    EXPECT_EQ(start_next(), first);
    EXPECT_EQ(start_next(), second_of_a);
}

// Load: a sustained overload of requests that can meet their target. Guards against late requests that
// starve.
TEST_F(wait_queue_test, late_requests_have_one_start_in_eight) {
    const auto late = push(0ms, "a");
    queue.update_late(start_time + 1ms);
    int starts = 0;
    for (bool started = false; !started && starts < 100; ++starts) {
        push(500ms, "b");
        started = start_next() == late;
    }
    EXPECT_EQ(starts, 8);
    EXPECT_EQ(queue.size(), 1U) << "the request that waited for the late one";
}

}  // namespace
}  // namespace chicorygap::scheduling
