#include "../src/reading_speed.h"

#include "../src/pause_watch.h"
#include "scheduling/scheduler.h"

#include <gtest/gtest.h>

namespace chicorygap::scheduling {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start_time{1000s};

// Guards against a fixed time of the first token that counts as reading: utkp-router ordered twice the
// servers that it needed, since 41 ms of each first token were not spent on the prompt.
TEST(reading_speed, time_of_a_first_token_is_learned_from_short_prompts) {
    reading_speed s;
    for (int i = 0; i < 30; ++i) {
        EXPECT_EQ(s.observe(100, 45ms), 0);
        s.observe(8000, 145ms);
    }
    EXPECT_NEAR(s.prefill_tokens_per_ms(), 80, 1);
}

// Guards against later events of a stream counting as first tokens.
TEST(reading_speed, only_the_first_event_of_an_answer_counts) {
    scheduler s{{base::vm_id{"self"}, base::zone_id{"z"}}, [] { return 0; }};
    catalog::backend_server b;
    b.id = base::backend_server_id{"a"};
    b.zone = base::zone_id{"z"};
    b.slots = 8;
    s.set_servers({b}, start_time);
    std::uint64_t next = 0;
    const auto run = [&](std::int64_t prompt, base::duration first) {
        scheduled_request w;
        w.id = local_request_id{++next};
        w.generation =
            generation_requirements{.prompt_tokens = prompt, .output_tokens = 10, .parts = {{next, prompt}}};
        w.arrived = start_time;
        w.target_at = start_time + 1s;
        w.deadline = start_time + 10s;
        s.submit(w, start_time);
        s.first_output(w.id, start_time + first);
        for (int i = 1; i < 50; ++i) {
            s.first_output(w.id, start_time + first + i * 40ms);
        }
        s.attempt_finished(w.id, outcome::success, start_time + 3s);
        s.remove(w.id);
    };
    for (int i = 0; i < 30; ++i) {
        run(100, 45ms);
        run(20'000, 145ms);
    }
    // Nothing of these prompts is shared, so that the server reads all 20,000 tokens in 100 ms.
    EXPECT_NEAR(s.status(start_time).prefill_tokens_per_ms, 200, 1);
}

TEST(pause_watch, prompts_are_kept_apart_after_several_late_streams_and_for_a_while) {
    pause_watch p;
    p.note_target(400ms);
    p.note_target(250ms);
    EXPECT_EQ(p.pause_to_keep(false, start_time), std::nullopt);
    p.note_late(start_time);
    EXPECT_EQ(p.pause_to_keep(false, start_time), std::nullopt);
    p.note_late(start_time + 1s);
    EXPECT_EQ(p.pause_to_keep(false, start_time + 1s), 250ms);
    EXPECT_EQ(p.pause_to_keep(false, start_time + 29s), 250ms);
    EXPECT_EQ(p.pause_to_keep(false, start_time + 60s), std::nullopt);
}

// Guards against a few accidents among many streams that take servers from the prompts.
TEST(pause_watch, few_late_streams_among_many_are_no_pattern) {
    pause_watch p;
    p.note_target(250ms);
    for (int i = 0; i < 100; ++i) {
        p.note_stream(start_time + i * 10ms);
    }
    for (int i = 0; i < 4; ++i) {
        p.note_late(start_time + 1s);
    }
    EXPECT_EQ(p.pause_to_keep(false, start_time + 1s), std::nullopt);
    p.note_late(start_time + 1s);
    EXPECT_EQ(p.pause_to_keep(false, start_time + 1s), 250ms);
}

// Guards against daemons that keep prompts apart at different times: each of them would have other homes for
// the same prompt parts, and utkp-router-grown scale-1 read 88 M shared tokens again.
TEST(pause_watch, prompts_are_kept_apart_when_a_peer_saw_late_streams) {
    pause_watch p;
    p.note_target(250ms);
    EXPECT_EQ(p.pause_to_keep(true, start_time), 250ms);
    EXPECT_FALSE(p.late(start_time)) << "only what a daemon saw itself is told on";
}

}  // namespace
}  // namespace chicorygap::scheduling
