#include "../src/prefill_speed_estimator.h"

#include "../src/token_gap_monitor.h"
#include "scheduling/scheduler.h"

#include <gtest/gtest.h>

namespace chicorygap::scheduling {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start_time{1000s};

// Guards against a base latency that counts as prefill time: with 41 ms of base latency in each time to first
// token, the autoscaler requested twice the servers that the load of utkp-router needs.
TEST(prefill_speed_estimator, base_latency_is_measured_with_short_prompts) {
    prefill_speed_estimator estimator;
    for (int i = 0; i < 30; ++i) {
        EXPECT_EQ(estimator.observe(100, 45ms), 0);
        estimator.observe(8000, 145ms);
    }
    EXPECT_NEAR(estimator.prefill_tokens_per_ms(), 80, 1);
}

// Guards against later events of a stream that count as first tokens.
TEST(prefill_speed_estimator, only_the_first_event_of_a_response_counts) {
    scheduler s{{base::vm_id{"self"}, base::zone_id{"z"}}, [] { return 0; }};
    catalog::backend_server b;
    b.id = base::backend_server_id{"a"};
    b.zone = base::zone_id{"z"};
    b.slots = 8;
    s.set_servers({b}, start_time);
    std::uint64_t last_id = 0;
    const auto run = [&](std::int64_t prompt, base::duration time_to_first_token) {
        scheduled_request request;
        request.id = local_request_id{++last_id};
        request.generation = generation_requirements{
            .prompt_tokens = prompt, .output_tokens = 10, .parts = {{last_id, prompt}}};
        request.arrived = start_time;
        request.target_at = start_time + 1s;
        request.deadline = start_time + 10s;
        s.submit(request, start_time);
        s.first_output(request.id, start_time + time_to_first_token);
        for (int i = 1; i < 50; ++i) {
            s.first_output(request.id, start_time + time_to_first_token + i * 40ms);
        }
        s.attempt_finished(request.id, outcome::success, start_time + 3s);
        s.remove(request.id);
    };
    for (int i = 0; i < 30; ++i) {
        run(100, 45ms);
        run(20'000, 145ms);
    }
    // The prompts share no part, so that the server processes all 20,000 tokens in 100 ms.
    EXPECT_NEAR(s.status(start_time).prefill_tokens_per_ms, 200, 1);
}

TEST(token_gap_monitor, long_prompts_are_separated_for_a_time_after_several_streams_exceed_their_limit) {
    token_gap_monitor monitor;
    monitor.add_gap_limit(400ms);
    monitor.add_gap_limit(250ms);
    EXPECT_EQ(monitor.enforced_gap_limit(false, start_time), std::nullopt);
    monitor.record_gap_exceeded(start_time);
    EXPECT_EQ(monitor.enforced_gap_limit(false, start_time), std::nullopt);
    monitor.record_gap_exceeded(start_time + 1s);
    EXPECT_EQ(monitor.enforced_gap_limit(false, start_time + 1s), 250ms);
    EXPECT_EQ(monitor.enforced_gap_limit(false, start_time + 29s), 250ms);
    EXPECT_EQ(monitor.enforced_gap_limit(false, start_time + 60s), std::nullopt);
}

// Guards against a separation of long prompts, which reduces the servers for them, because of a few outliers
// among many streams.
TEST(token_gap_monitor, few_streams_over_their_limit_among_many_do_not_separate_long_prompts) {
    token_gap_monitor monitor;
    monitor.add_gap_limit(250ms);
    for (int i = 0; i < 100; ++i) {
        monitor.record_stream_start(start_time + i * 10ms);
    }
    for (int i = 0; i < 4; ++i) {
        monitor.record_gap_exceeded(start_time + 1s);
    }
    EXPECT_EQ(monitor.enforced_gap_limit(false, start_time + 1s), std::nullopt);
    monitor.record_gap_exceeded(start_time + 1s);
    EXPECT_EQ(monitor.enforced_gap_limit(false, start_time + 1s), 250ms);
}

// Guards against daemons that separate long prompts at different times: they would compute different affinity
// servers for the same prompt parts. In scenario utkp-router-grown scale-1, 88 M shared tokens were processed
// again.
TEST(token_gap_monitor, long_prompts_are_separated_when_a_peer_reports_streams_over_their_limit) {
    token_gap_monitor monitor;
    monitor.add_gap_limit(250ms);
    EXPECT_EQ(monitor.enforced_gap_limit(true, start_time), 250ms);
    EXPECT_FALSE(monitor.limits_exceeded(start_time)) << "a daemon reports only its own observations";
}

}  // namespace
}  // namespace chicorygap::scheduling
