#include "../src/server_pace.h"

#include "shared_machines_fixture.h"

namespace chicorygap::scheduling {
namespace {

// Load: servers at 0.55 to 1.2 of the nominal speed. Guards against a speed that is learned only upward.
TEST(server_pace, speed_is_learned_in_both_directions_and_counts_by_confidence) {
    server_pace fast;
    server_pace slow;
    slow.measure(1 / 0.55, start_time);
    EXPECT_GT(slow.speed(), 0.7) << "one measurement may be wrong";
    for (int i = 0; i < 20; ++i) {
        fast.measure(1 / 1.2, start_time);
        slow.measure(1 / 0.55, start_time);
    }
    EXPECT_NEAR(fast.speed(), 1.2, 0.05);
    EXPECT_NEAR(slow.speed(), 0.55, 0.06);
}

// Load: other work on a machine for 600 ms. Guards against a server that is avoided long after that.
TEST(server_pace, reported_pace_fades_within_some_hundred_milliseconds) {
    server_pace p;
    p.report(1, start_time);
    p.report(2.5, start_time);
    EXPECT_GT(p.slowdown(start_time), 1.9);
    EXPECT_LT(p.slowdown(start_time + 300ms), 1.5);
    EXPECT_NEAR(p.slowdown(start_time + 2s), 1, 0.02);
}

// Guards against a server that is starved or flooded because its reports are always wrong.
TEST(server_pace, a_pace_that_is_always_wrong_is_outweighed_by_measurements) {
    for (const double wrong : {0.01, 2.5, 100.0}) {
        server_pace p;
        for (int i = 0; i < 60; ++i) {
            const auto now = start_time + i * 1s;
            p.report(wrong, now);
            p.measure(1, now);
            EXPECT_GE(p.time_factor(now), 0.3) << wrong;
            EXPECT_LE(p.time_factor(now), 5) << wrong;
        }
        EXPECT_NEAR(p.time_factor(start_time + 60s), 1, 0.25) << wrong;
    }
}

// Load: plain requests of 30 ms at servers of unequal speed, one of which is busy with other work for a
// while. Guards against equal shares, and against a busy machine that keeps its share.
TEST_F(shared_machines_test, plain_servers_get_work_by_speed_and_pace) {
    s.set_servers({server("a", 6), server("b", 6)}, start_time);
    std::map<local_request_id, base::time_point> ends;
    auto now = start_time;
    const auto run = [&](int count, double pace_of_b, base::duration interval) {
        starts_by_server.clear();
        for (int i = 0; i < count; ++i, now += interval) {
            for (auto it = ends.begin(); it != ends.end();) {
                const auto [id, end] = *it;
                it = end <= now ? ends.erase(it) : std::next(it);
                if (end <= now) {
                    const bool b = server_of[id] == "b";
                    s.set_server_report(
                        id, {.running = 1, .waiting = 0, .slots = 6, .pace = b ? pace_of_b : 1}, now);
                    finish(id, now);
                }
            }
            const auto id = submit(make_request(now), now);
            const bool b = server_of[id] == "b";
            ends[id] = now + (b ? std::chrono::duration_cast<base::duration>(30ms * pace_of_b / 0.55) : 30ms);
        }
    };
    run(300, 1, 12ms);
    run(300, 1, 12ms);
    const auto usual_share = starts_by_server["b"];
    EXPECT_GT(starts_by_server["a"], 1.3 * usual_share);
    EXPECT_GT(usual_share, 30);
    run(60, 2.5, 12ms);
    EXPECT_LT(starts_by_server["b"], 0.8 * usual_share / 5);
}

// Load: prompts at 95% of what two servers can process, of which one has half the speed. Guards against equal
// shares and against a slow server that is left out.
TEST_F(shared_machines_test, prompts_go_to_servers_by_speed) {
    s.set_engine(catalog::engine_parameters{.slots = 32, .kv_capacity_tokens = 300'000});
    s.set_servers({server("a", 32), server("b", 32)}, start_time);
    std::map<std::string, base::time_point> idle_at;
    std::multimap<base::time_point, local_request_id> first_events;
    auto now = start_time;
    const auto run = [&](int count) {
        starts_by_server.clear();
        for (int i = 0; i < count; ++i, now += 70ms) {
            while (!first_events.empty() && first_events.begin()->first <= now) {
                const auto [at, id] = *first_events.begin();
                first_events.erase(first_events.begin());
                s.first_output(id, at);
                finish(id, at);
            }
            const auto id = submit(make_generation(now, 4000), now);
            auto& idle = idle_at[server_of[id]];
            idle = std::max(idle, now) + (server_of[id] == "b" ? 200ms : 100ms);
            first_events.emplace(idle, id);
        }
    };
    run(100);
    run(100);
    EXPECT_GT(starts_by_server["a"], 1.4 * starts_by_server["b"]);
    EXPECT_GT(starts_by_server["b"], 20);
}

}  // namespace
}  // namespace chicorygap::scheduling
