#include "../src/queue_forecast.h"
#include "shared_machines_fixture.h"

#include <set>

namespace chicorygap::scheduling {
namespace {

struct admission_test : shared_machines_test {
    admission_test() { s.set_engine(catalog::engine_parameters{.slots = 32, .kv_capacity_tokens = 900'000}); }

    void report_prefill_queue(const std::string& id, std::int64_t tokens, base::time_point now) {
        load_report peer;
        peer.servers = {{.server = base::backend_server_id{id},
                         .running = 8,
                         .kv_cache_tokens = 80'000,
                         .pending_prefill_tokens = tokens}};
        apply(s.set_peer_load(base::vm_id{"peer"}, peer, now + 5s, now));
    }
};

// Load: a server has free slots but prompts of several seconds before the new one. Guards against a prompt
// that is sent there and fails at its deadline.
TEST_F(admission_test, a_prompt_is_not_sent_to_a_server_whose_queue_lasts_longer_than_its_caller_waits) {
    s.set_servers({server("a", 32)}, start_time);
    report_prefill_queue("a", 240'000, start_time);  // six seconds at 40 tokens per ms
    auto request = make_generation(start_time, 3000);
    request.target_at = start_time + 10s;  // only the deadline counts here
    const auto id = submit(std::move(request), start_time);
    EXPECT_TRUE(server_of[id].empty());
    ASSERT_EQ(rejected.size(), 1U) << "refused at once, not at its deadline";
    EXPECT_EQ(rejected[0].code, base::result_code::deadline_unreachable);
    EXPECT_GE(rejected[0].retry_after, 2s) << "until the server has worked off its queue";
    auto patient = make_generation(start_time, 3000);
    patient.target_at = start_time + 10s;
    patient.deadline = start_time + 15s;
    EXPECT_EQ(server_of[submit(std::move(patient), start_time)], "a");
}

// Guards against a refusal while another server can serve the request in time.
TEST_F(admission_test, a_prompt_is_sent_to_another_server_that_can_serve_it_in_time) {
    s.set_servers({server("a", 32), server("b", 32, "z2")}, start_time);
    report_prefill_queue("a", 240'000, start_time);
    EXPECT_EQ(server_of[submit(make_generation(start_time, 3000), start_time)], "b");
}

// Guards against a service that refuses all requests for the times that it measured in a burst, and therefore
// never measures others.
TEST_F(admission_test, an_idle_server_is_always_tried) {
    s.set_servers({server("a", 4)}, start_time);
    for (int i = 0; i < 5; ++i) {
        const auto now = start_time + i * 10s;
        auto request = make_request(now);
        request.deadline = now + 1s;
        const auto id = submit(std::move(request), now);
        ASSERT_EQ(server_of[id], "a") << i;
        finish(id, now + 4s);
    }
}

// Load: a burst longer than the targets. Guards against urgent requests that get nothing because they can
// only be late, while less urgent ones with longer targets start on the same server.
TEST_F(admission_test, an_urgent_request_that_can_only_be_late_starts_where_a_less_urgent_one_does) {
    s.set_servers({server("a", 32)}, start_time);
    report_prefill_queue("a", 16'000, start_time);  // 400 ms
    auto urgent = make_generation(start_time, 600, 0);
    urgent.target_at = start_time + 300ms;
    EXPECT_EQ(server_of[submit(std::move(urgent), start_time)], "a");
    EXPECT_EQ(server_of[submit(make_generation(start_time, 3000), start_time)], "a");
}

// Load: the callers of streams leave long before the deadline if no event arrives. Guards against prompts
// that wait on a server, or in the queue, for callers that have left by then.
TEST_F(admission_test, a_stream_is_not_started_where_its_first_event_comes_after_its_caller_has_left) {
    s.set_servers({server("a", 32)}, start_time);
    report_prefill_queue("a", 120'000, start_time);  // three seconds
    auto stream = make_generation(start_time, 600);
    stream.target_at = start_time + 500ms;
    stream.deadline = start_time + 15s;
    stream.generation->max_token_gap = 250ms;
    EXPECT_EQ(stream.first_event_deadline(), start_time + 2s);
    submit(stream, start_time);
    ASSERT_EQ(rejected.size(), 1U);
    EXPECT_GE(rejected[0].retry_after, 500ms);
    stream.id = local_request_id{++last_id};
    stream.generation->max_token_gap = 600ms;  // the caller waits 4.8 s
    EXPECT_EQ(server_of[submit(stream, start_time)], "a");
}

// Load: one stream of this daemon has no first event long after it was due. Guards against further prompts
// behind it.
TEST_F(admission_test, an_overdue_first_event_counts_as_a_queue) {
    s.set_servers({server("a", 32), server("b", 32, "z2")}, start_time);
    EXPECT_EQ(server_of[submit(make_generation(start_time, 3000), start_time)], "a");
    const auto later = start_time + 1s;
    EXPECT_EQ(server_of[submit(make_generation(later, 3000), later)], "b");
}

// Load: a daemon of a large fleet starts four requests per second while all places are used and many requests
// wait at its peers. Guards against requests that are accepted and time out because this daemon alone cannot
// measure the rate of starts.
TEST_F(shared_machines_test, reports_of_peers_tell_the_wait_of_a_daemon_with_few_starts) {
    s.set_servers({server("a", 4)}, start_time);
    const auto measured = submit(make_request(start_time), start_time);
    finish(measured, start_time + 1s);
    const auto now = start_time + 1s;
    load_report peer;
    peer.servers = {{.server = base::backend_server_id{"a"}, .running = 12}};
    peer.waiting = 60;  // 12 places of 1 s: 5 s for all of them, 2.5 s for half
    apply(s.set_peer_load(base::vm_id{"peer"}, peer, now + 5s, now));
    submit(make_request(now), now);
    ASSERT_EQ(rejected.size(), 1U);
    EXPECT_EQ(rejected[0].code, base::result_code::queue_full);
    EXPECT_GE(rejected[0].retry_after, 2s);
}

// Load: a burst is refused within some milliseconds. Guards against callers that return at the same time or
// in another order than they came.
TEST(return_schedule, callers_return_in_order_and_spread) {
    std::uint64_t state = 7;
    const base::random_function random = [&] {
        return (state = state * 6364136223846793005U + 1442695040888963407U) >> 33U;
    };
    return_schedule schedule;
    auto previous = start_time;
    for (int i = 0; i < 20; ++i) {
        const auto now = start_time + i * 1ms;
        const auto at = now + schedule.next(400ms, 50ms, random, now);
        EXPECT_GT(at, previous);
        EXPECT_GE(at, now + 250ms);
        previous = at;
    }
    EXPECT_GE(previous, start_time + 1s);
    std::set<base::duration> late;
    for (int i = 0; i < 200; ++i) {
        const auto delay = schedule.next(1h, 250ms, random, start_time);
        EXPECT_LE(delay, 6s);
        late.insert(delay);
    }
    EXPECT_GT(late.size(), 50U);
}

// Guards against a division by zero and an overflow where nothing is known.
TEST(queue_forecast, without_figures_there_is_no_wait) {
    EXPECT_EQ(queue_forecast({.waiting = 5, .peer_waiting = 9}).wait(5), base::duration{});
    EXPECT_LE(queue_forecast({.running = 1, .peer_waiting = 1'000'000'000, .request_time = 1h}).wait(1), 30s);
}

}  // namespace
}  // namespace chicorygap::scheduling
