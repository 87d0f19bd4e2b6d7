// Load: servers name limits on their rate, times without requests, or that they stop.
#include "backpressure/signal_table.h"
#include "scheduling/scheduler.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace chicorygap::scheduling {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start_time{1000s};

catalog::backend_server make_server(const std::string& id) {
    catalog::backend_server s;
    s.id = base::backend_server_id{id};
    s.service = base::service_id{"orders"};
    s.zone = base::zone_id{"z"};
    s.slots = 8;
    return s;
}

struct server_signals_test : testing::Test {
    std::uint64_t random_state = 1;
    backpressure::signal_table signals{base::vm_id{"self"}, base::zone_id{"z"}, start_time - 1h};
    scheduler s{{base::vm_id{"self"}, base::zone_id{"z"}, &signals}, [this] { return ++random_state; }};
    std::uint64_t last_id = 0;
    std::map<std::string, int> starts;
    std::vector<local_request_id> start_order;
    std::vector<reject_decision> rejected;

    void set_servers(const std::vector<catalog::backend_server>& list) {
        signals.set_servers(list, start_time);
        s.set_servers(list, start_time);
    }

    void apply(const std::vector<decision>& decisions, base::time_point now) {
        for (const auto& d : decisions) {
            if (const auto* start = std::get_if<start_decision>(&d)) {
                ++starts[start->server.id.str()];
                start_order.push_back(start->id);
                // Requests are short, so that slots are never the bound.
                s.attempt_finished(start->id, outcome::success, now);
                s.remove(start->id);
            } else {
                rejected.push_back(std::get<reject_decision>(d));
            }
        }
    }

    local_request_id submit(base::time_point now, std::uint8_t priority_rank = 1,
                            base::duration target = 400ms) {
        scheduled_request request;
        request.id = local_request_id{++last_id};
        request.priority_rank = priority_rank;
        request.workspace = base::workspace_id{"w"};
        request.arrived = now;
        request.target_at = now + target;
        request.deadline = now + 5s;
        const auto id = request.id;
        apply(s.submit(std::move(request), now), now);
        return id;
    }

    void tick(base::time_point now) {
        signals.expire(now);
        apply(s.tick(now), now);
    }
};

// Load: a server with a limit runs few requests, so that it always looks free.
TEST_F(server_signals_test, server_with_a_limit_gets_no_more_although_it_looks_free) {
    set_servers({make_server("a"), make_server("b")});
    signals.observe(make_server("a"), {.rate_limit = 2}, start_time, start_time);
    for (auto now = start_time; now < start_time + 10s; now += 20ms) {
        tick(now);
        submit(now);
    }
    EXPECT_LE(starts["a"], 22);
    EXPECT_GE(starts["a"], 15) << "the limit is used";
    EXPECT_EQ(starts["a"] + starts["b"], 500);
    EXPECT_TRUE(rejected.empty());
}

// Load: a burst while one server is cold, which looks idle to all daemons. Guards against requests that wait
// for it, or are refused, while a warm server has room.
TEST_F(server_signals_test, burst_goes_to_the_warm_server_while_another_is_cold) {
    signals.set_warmups(backpressure::warmup_bounds{1.5, 5}, {{base::service_id{"orders"}, {3s, 10}}},
                        start_time);
    auto cold = make_server("cold");
    cold.remaining_warmup = 3s;
    set_servers({cold, make_server("warm")});
    for (auto now = start_time; now < start_time + 2s; now += 20ms) {
        tick(now);
        submit(now);
    }
    EXPECT_LE(starts["cold"], 17);
    EXPECT_EQ(starts["cold"] + starts["warm"], 100);
    EXPECT_TRUE(rejected.empty());
}

// Load: one daemon sends much, and one server looks better than the other. Guards against requests that all
// go to a server which may have become cold again, and against requests that wait although it has room.
TEST_F(server_signals_test, other_servers_are_preferred_after_many_starts_within_a_second) {
    signals.set_warmups(backpressure::warmup_bounds{1.5, 5}, {{base::service_id{"orders"}, {3s, 10}}},
                        start_time);
    auto far = make_server("far");
    far.zone = base::zone_id{"other"};
    set_servers({make_server("near"), far});
    for (int i = 0; i < 8; ++i) {
        submit(start_time + i * 10ms);
    }
    EXPECT_EQ(starts["near"], 4);
    EXPECT_EQ(starts["far"], 4);
    submit(start_time + 100ms);
    EXPECT_EQ(starts["near"], 5) << "no other server is better";
    EXPECT_TRUE(rejected.empty());
}

// Load: the whole service is cold. Guards against holding requests beyond their time, and against telling
// callers to return later than the servers are warm.
TEST_F(server_signals_test, callers_are_told_when_cold_servers_take_their_request) {
    signals.set_warmups(backpressure::warmup_bounds{1.5, 5}, {{base::service_id{"orders"}, {3s, 10}}},
                        start_time);
    auto cold = make_server("cold");
    cold.remaining_warmup = 3s;
    set_servers({cold});
    for (int i = 0; i < 100; ++i) {
        submit(start_time);
    }
    EXPECT_EQ(starts["cold"], 1);
    ASSERT_GE(rejected.size(), 80U);
    for (const auto& r : rejected) {
        EXPECT_LE(r.retry_after, 4500ms) << "3 s, and half of it to spread the callers";
    }
    for (auto now = start_time; now < start_time + 3s; now += 20ms) {
        tick(now);
    }
    EXPECT_EQ(static_cast<std::size_t>(starts["cold"]) + rejected.size(), 100U);
    EXPECT_EQ(submit(start_time + 3s), local_request_id{101});
    EXPECT_GE(starts["cold"], 2);
}

// Guards against a limit that costs something although the load is far below it.
TEST_F(server_signals_test, limit_above_the_load_delays_nothing) {
    set_servers({make_server("limited")});
    signals.observe(make_server("limited"), {.rate_limit = 200}, start_time, start_time);
    for (auto now = start_time; now < start_time + 5s; now += 100ms) {
        tick(now);
        for (int i = 0; i < 4; ++i) {
            submit(now);
        }
    }
    EXPECT_EQ(starts["limited"], 200);
}

// Load: all servers have limits and requests of two tiers wait.
TEST_F(server_signals_test, allowance_goes_to_the_higher_tier_first) {
    set_servers({make_server("a"), make_server("b")});
    for (const auto* id : {"a", "b"}) {
        signals.observe(make_server(id), {.rate_limit = 4}, start_time, start_time);
    }
    for (int i = 0; i < 4; ++i) {
        submit(start_time);  // uses what is there
    }
    start_order.clear();
    const auto low = submit(start_time + 1ms, 2);
    const auto high = submit(start_time + 2ms, 0);
    for (auto now = start_time; now < start_time + 300ms; now += 20ms) {
        tick(now);
    }
    const auto at = [&](local_request_id id) {
        return std::find(start_order.begin(), start_order.end(), id) - start_order.begin();
    };
    EXPECT_LT(at(high), at(low));
}

// Load: more requests than all limits allow. Guards against holding requests that cannot start in time, and
// against telling callers to return earlier.
TEST_F(server_signals_test, callers_are_told_when_the_limits_allow_their_request) {
    set_servers({make_server("a")});
    signals.observe(make_server("a"), {.rate_limit = 0.25}, start_time, start_time);
    submit(start_time);
    ASSERT_EQ(starts["a"], 1);
    submit(start_time + 100ms);
    ASSERT_EQ(rejected.size(), 1U);
    EXPECT_EQ(rejected[0].code, base::result_code::queue_full);
    EXPECT_GE(rejected[0].retry_after, 3900ms - 300ms);
    EXPECT_LE(rejected[0].retry_after, 6s);
}

TEST_F(server_signals_test, callers_are_told_when_the_first_wait_of_a_server_ends) {
    set_servers({make_server("a"), make_server("b")});
    signals.observe(make_server("a"), {.retry_after = 20s}, start_time, start_time);
    signals.observe(make_server("b"), {.retry_after = 8s}, start_time, start_time);
    submit(start_time + 1s);
    ASSERT_EQ(rejected.size(), 1U);
    EXPECT_GE(rejected[0].retry_after, 7s);
    EXPECT_LE(rejected[0].retry_after, 10500ms);
    submit(start_time + 8s);
    EXPECT_EQ(starts["b"], 1);
    EXPECT_EQ(starts["a"], 0);
}

TEST_F(server_signals_test, request_waits_if_its_server_takes_it_soon) {
    set_servers({make_server("a")});
    signals.observe(make_server("a"), {.retry_after = 200ms}, start_time, start_time);
    submit(start_time);
    EXPECT_TRUE(rejected.empty());
    tick(start_time + 210ms);
    EXPECT_EQ(starts["a"], 1);
}

TEST_F(server_signals_test, server_that_stops_gets_no_further_request) {
    set_servers({make_server("leaving"), make_server("other")});
    signals.observe(make_server("leaving"), {.leaving = true}, start_time, start_time);
    for (int i = 0; i < 5; ++i) {
        submit(start_time + i * 1ms);
    }
    EXPECT_EQ(starts["leaving"], 0);
    EXPECT_EQ(starts["other"], 5);
}

// Guards against the limit of an earlier process under the same id.
TEST_F(server_signals_test, signals_end_with_the_process_of_the_server) {
    set_servers({make_server("a")});
    signals.observe(make_server("a"), {.rate_limit = 0.0, .retry_after = 1h, .leaving = true}, start_time,
                    start_time);
    submit(start_time);
    EXPECT_EQ(starts["a"], 0);
    auto restarted = make_server("a");
    restarted.incarnation = 1;
    set_servers({restarted});
    submit(start_time + 1ms);
    EXPECT_EQ(starts["a"], 1);
}

}  // namespace
}  // namespace chicorygap::scheduling
