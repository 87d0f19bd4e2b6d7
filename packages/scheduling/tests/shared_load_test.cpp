#include "shared_machines_fixture.h"

namespace chicorygap::scheduling {
namespace {

// Load: daemons start requests faster than they hear of each other. Guards against requests at a server that
// has said that all of its slots are used.
TEST_F(shared_machines_test,
       a_server_that_reports_to_be_full_gets_no_requests_for_some_hundred_milliseconds) {
    s.set_engine(catalog::engine_parameters{.slots = 8, .kv_capacity_tokens = 300'000});
    s.set_servers({server("a", 8)}, start_time);
    const auto first = submit(make_generation(start_time, 100), start_time);
    s.set_server_report(first, {.running = 8, .waiting = 3, .slots = 8, .pace = 1}, start_time);
    const auto second = submit(make_generation(start_time + 20ms, 100), start_time + 20ms);
    EXPECT_TRUE(server_of[second].empty());
    apply(s.tick(start_time + 310ms));
    EXPECT_EQ(server_of[second], "a");
}

// Guards against a server that is flooded because it always reports to be empty.
TEST_F(shared_machines_test, a_server_that_always_reports_to_be_empty_is_not_flooded) {
    s.set_servers({server("a", 4)}, start_time);
    load_report peer;
    peer.servers = {{.server = base::backend_server_id{"a"}, .running = 2}};
    apply(s.set_peer_load(base::vm_id{"peer"}, peer, start_time + 5s, start_time));
    for (int i = 0; i < 40; ++i) {
        const auto id = submit(make_request(start_time), start_time);
        s.set_server_report(id, {.running = 0, .waiting = 0, .slots = 4, .pace = 0.01}, start_time);
    }
    EXPECT_LE(starts_by_server["a"], 12) << "three for each slot";
}

// Guards against a server that is starved because it always reports to be full.
TEST_F(shared_machines_test, a_server_that_always_reports_to_be_full_is_used_again) {
    s.set_servers({server("a", 4)}, start_time);
    for (int i = 0; i < 10; ++i) {
        const auto now = start_time + i * 400ms;
        const auto id = submit(make_request(now), now);
        ASSERT_EQ(server_of[id], "a") << i;
        s.set_server_report(id, {.running = 4, .waiting = 90'000, .slots = 4, .pace = 99}, now + 20ms);
        finish(id, now + 20ms);
    }
}

// Load: all slots of a plain server are used by other daemons. Guards against further requests there until
// one of those there has ended, and against peers that send theirs.
TEST_F(shared_machines_test, a_server_that_refused_a_request_counts_as_full_for_a_short_time) {
    s.set_servers({server("a", 2), server("b", 2, "z2")}, start_time);
    const auto refused = submit(make_request(start_time), start_time);
    ASSERT_EQ(server_of[refused], "a");
    apply(s.attempt_finished(refused, outcome::rejected, start_time));
    apply(s.resubmit(refused, start_time));
    EXPECT_EQ(server_of[refused], "b");
    EXPECT_EQ(server_of[submit(make_request(start_time + 5ms), start_time + 5ms)], "b");
    EXPECT_TRUE(s.local_load(start_time + 5ms).servers.front().queue_reported);
    EXPECT_EQ(server_of[submit(make_request(start_time + 400ms), start_time + 400ms)], "a");
}

// Guards against peers that leave a server out long after it was full: requests end there within some ms.
TEST_F(shared_machines_test, a_server_that_a_peer_found_full_is_left_out_for_a_short_time) {
    s.set_servers({server("a", 8), server("b", 8, "z2")}, start_time);
    load_report peer;
    peer.servers = {{.server = base::backend_server_id{"a"}, .queue_reported = true}};
    apply(s.set_peer_load(base::vm_id{"peer"}, peer, start_time + 5s, start_time));
    EXPECT_EQ(server_of[submit(make_request(start_time), start_time)], "b");
    EXPECT_EQ(server_of[submit(make_request(start_time + 150ms), start_time + 150ms)], "a");
}

// Load: other daemons fill the memory of a server within one beacon interval. Guards against a server that
// crashes because the requests that it holds exceed its memory.
TEST_F(shared_machines_test, reported_requests_count_in_the_memory_of_a_server) {
    s.set_engine(catalog::engine_parameters{.slots = 32, .kv_capacity_tokens = 50'000});
    s.set_servers({server("a", 32)}, start_time);
    const auto first = submit(make_generation(start_time, 9000), start_time);
    s.set_server_report(first, {.running = 5, .waiting = 0, .slots = 32, .pace = 1}, start_time);
    EXPECT_TRUE(server_of[submit(make_generation(start_time, 9000), start_time)].empty())
        << "five requests of 9,100 tokens take 45,500 of 46,000 usable tokens";
}

}  // namespace
}  // namespace chicorygap::scheduling
