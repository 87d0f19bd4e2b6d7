#include "test_util.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace chicorygap::routing {
namespace {

using namespace testing;
using base::result_code;

void fail_attempts(router& r, int server, int times, base::time_point now) {
    for (int i = 0; i < times; i++) {
        run_attempt(r, i, server, result_code::backend_failed, now);
    }
}

// Guards against an ejection that never ends, and against full traffic at once after its end.
TEST(ejection, failing_server_is_ejected_and_slow_started) {
    auto r = make_router();
    r.handle(servers_changed{make_servers(10)}, start);
    fail_attempts(r, 0, 5, start);
    EXPECT_TRUE(status_of(r, 0, start).ejected);
    for (int i = 0; i < 500; i++) {
        EXPECT_NE(r.select_server({}, start + 1s)->server, server_id(0));
    }
    double last = 0;
    for (auto t = start + 5s; t <= start + 15s; t += 2s) {
        const auto s = status_of(r, 0, t);
        EXPECT_FALSE(s.ejected);
        EXPECT_GT(s.weight, last);
        last = s.weight;
    }
    EXPECT_DOUBLE_EQ(status_of(r, 0, start + 15s).weight, 1.0);
    fail_attempts(r, 0, 5, start + 16s);
    EXPECT_TRUE(status_of(r, 0, start + 25s).ejected) << "the second ejection lasts longer than the first";
}

// Guards against ejection because of outcomes that the server did not cause.
TEST(ejection, refusals_and_caller_disconnects_do_not_eject) {
    auto r = make_router();
    r.handle(servers_changed{make_servers(10)}, start);
    for (int i = 0; i < 50; i++) {
        run_attempt(r, i, 0, i % 2 == 0 ? result_code::backend_refused : result_code::caller_gone, start);
    }
    EXPECT_FALSE(status_of(r, 0, start).ejected);
}

// Guards against a slow server that keeps its share of the traffic because its requests do not fail.
TEST(ejection, latency_outlier_is_ejected) {
    auto r = make_router();
    r.handle(servers_changed{make_servers(10)}, start);
    auto now = start;
    for (int round = 0; round < 15; round++) {
        for (int s = 0; s < 10; s++) {
            r.handle(attempt_started{make_attempt_id(s), server_id(s)}, now);
        }
        for (int s = 9; s >= 0; s--) {
            r.handle(attempt_output_received{make_attempt_id(s)}, now + (s == 0 ? 500ms : 100ms));
            r.handle(attempt_finished{make_attempt_id(s), server_id(s)}, now + 600ms);
        }
        now += 1s;
    }
    EXPECT_TRUE(status_of(r, 0, now - 1s).ejected);
    EXPECT_FALSE(status_of(r, 1, now - 1s).ejected);
}

// Guards against ejection of the whole service by a common cause, for example a faulty release. Over random
// failures, removals and drains, at most 30% of the live servers of a zone are ejected, and a server can be
// selected while any server is live.
RC_GTEST_PROP(ejection, never_exceeds_the_limit, ()) {
    auto r = make_router(*rc::gen::arbitrary<std::uint64_t>());
    auto servers = make_servers(*rc::gen::inRange(1, 40));
    r.handle(servers_changed{servers}, start);
    auto now = start;
    for (int step = 0; step < 60; step++) {
        const int n = static_cast<int>(servers.size());
        const auto position = static_cast<std::size_t>(*rc::gen::inRange(0, n));
        const int kind = *rc::gen::inRange(0, 10);
        if (kind == 0 && n > 1) {
            servers.erase(servers.begin() + static_cast<std::ptrdiff_t>(position));
            r.handle(servers_changed{servers}, now);
        } else if (kind == 1) {
            servers[position].draining = true;
            r.handle(servers_changed{servers}, now);
        } else {
            const int id = std::stoi(servers[position].id.str().substr(1));
            fail_attempts(r, id, *rc::gen::inRange(1, 7), now);
        }
        now += std::chrono::milliseconds{*rc::gen::inRange(0, 1500)};
        const auto all = r.snapshot(now);
        const auto live = std::ranges::count(all, false, &server_status::draining);
        const auto ejected =
            std::ranges::count_if(all, [](const auto& s) { return s.ejected && !s.draining; });
        RC_ASSERT(static_cast<double>(ejected) <= 0.30 * static_cast<double>(live));
        RC_ASSERT(r.select_server({}, now).has_value() == (live > 0));
    }
}

}  // namespace
}  // namespace chicorygap::routing
