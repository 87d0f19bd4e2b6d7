#include "retry/attempt_tracker.h"

#include "base/error.h"
#include "retry/budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>

namespace chicorygap::retry {
namespace {

using namespace std::chrono_literals;
using base::result_code;
using base::run_state;

constexpr base::time_point start{1000s};

budget full_budget() {
    budget b;
    for (int i = 0; i < 1000; i++) {
        b.record_request(start);
    }
    return b;
}

// Guards against the run state `not_run` for an executed request, and against a second execution of a
// non-idempotent request, for any order of attempts, hedges, output and ends. `executed` counts the
// executions on the backend servers. A server may have executed an attempt if a byte of it was sent and the
// server did not refuse it.
RC_GTEST_PROP(attempt_tracker, run_state_is_correct_and_execution_is_single, ()) {
    const bool idempotent = *rc::gen::arbitrary<bool>();
    attempt_tracker tracker{
        {.idempotent = idempotent, .resumable = true, .max_attempts = 5, .hedge_delay = 1s}};
    auto b = full_budget();
    auto now = start;
    int executed = 0;
    std::vector<std::uint32_t> running{tracker.start(now)};
    for (int step = 0; step < 12; step++) {
        now += std::chrono::milliseconds{*rc::gen::inRange(0, 2000)};
        if (!running.empty()) {
            const auto at = *rc::gen::inRange<std::size_t>(0, running.size());
            const auto n = running[at];
            const int kind = *rc::gen::inRange(0, 5);
            if (kind == 0) {  // executed with output, then interrupted
                executed++;
                tracker.record_output(n, 1);
            }
            if (kind == 1) {
                tracker.finish(n, {result_code::connect_failed, false});
            } else if (kind == 2) {
                tracker.finish(n, {result_code::backend_refused, true});
            } else {
                executed += kind == 0 ? 0 : *rc::gen::inRange(0, 2);  // the response was lost or never sent
                tracker.finish(n, {result_code::first_byte_timeout, true});
            }
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(at));
        }
        if (tracker.try_next_attempt(b, now).allowed || tracker.try_hedge(b, now).allowed) {
            running.push_back(tracker.start(now));
        }
        RC_ASSERT(tracker.run_state() != run_state::not_run || (executed == 0 && running.empty()));
        RC_ASSERT(idempotent || executed <= 1);
    }
}

// Guards against the run state `not_run` while an adapter may be sending the request.
TEST(attempt_tracker, attempt_in_flight_is_unknown) {
    attempt_tracker tracker{{}};
    EXPECT_EQ(tracker.run_state(), run_state::not_run);
    const auto n = tracker.start(start);
    EXPECT_EQ(tracker.run_state(), run_state::unknown);
    tracker.finish(n, {result_code::caller_gone, false});
    EXPECT_EQ(tracker.run_state(), run_state::not_run);
}

// Guards against another attempt of a non-idempotent request that a server may have run. A server that
// reported a refusal did not run it.
TEST(attempt_tracker, non_idempotent_request_is_retried_only_if_it_certainly_did_not_run) {
    auto b = full_budget();
    attempt_tracker tracker{{.idempotent = false, .max_attempts = 4, .hedge_delay = 0s}};
    tracker.finish(tracker.start(start), {result_code::connect_failed, false});
    EXPECT_TRUE(tracker.try_next_attempt(b, start).allowed);
    const auto n = tracker.start(start);
    EXPECT_FALSE(tracker.try_hedge(b, start + 10s).allowed);
    EXPECT_THROW(tracker.start(start), base::error);
    tracker.finish(n, {result_code::backend_refused, true});
    EXPECT_EQ(tracker.run_state(), run_state::not_run);
    const int before = b.available(start);
    EXPECT_TRUE(tracker.try_next_attempt(b, start).allowed);
    EXPECT_EQ(b.available(start), before - 1);
    tracker.finish(tracker.start(start), {result_code::answer_mismatched, true});
    EXPECT_EQ(tracker.run_state(), run_state::unknown);
    EXPECT_EQ(tracker.try_next_attempt(b, start).reason, result_code::answer_mismatched);
    EXPECT_THROW(tracker.start(start), base::error);
}

// Guards against treating a failure of the server, which may have run the request, as a refusal.
TEST(attempt_tracker, non_idempotent_request_is_not_retried_after_a_failed_run) {
    auto b = full_budget();
    attempt_tracker tracker{{.idempotent = false, .max_attempts = 4}};
    tracker.finish(tracker.start(start), {result_code::backend_failed, true});
    EXPECT_EQ(tracker.run_state(), run_state::unknown);
    EXPECT_FALSE(tracker.try_next_attempt(b, start).allowed);
    EXPECT_THROW(tracker.start(start), base::error);
}

// Guards against retries beyond the deadline, the budget or the attempt limit, and after outcomes that would
// occur again.
TEST(attempt_tracker, retry_is_bounded_by_deadline_budget_count_and_outcome) {
    const auto reason_after = [](retry_policy policy, budget b, result_code code, base::time_point now) {
        attempt_tracker tracker{policy};
        tracker.finish(tracker.start(start), {code, true});
        return tracker.try_next_attempt(b, now).reason;
    };
    const retry_policy policy{.deadline = start + 10s, .max_attempts = 2, .min_attempt_time = 1s};
    EXPECT_EQ(reason_after(policy, full_budget(), result_code::backend_failed, start + 8s), result_code::ok);
    EXPECT_EQ(reason_after(policy, full_budget(), result_code::backend_failed, start + 9s),
              result_code::deadline_unreachable);
    EXPECT_EQ(reason_after(policy, budget{{.min_retries = 0}}, result_code::backend_failed, start),
              result_code::retries_exhausted);
    EXPECT_EQ(reason_after({.max_attempts = 1}, full_budget(), result_code::backend_failed, start),
              result_code::retries_exhausted);
    EXPECT_EQ(reason_after(policy, full_budget(), result_code::caller_gone, start), result_code::caller_gone);
}

// Guards against lost or repeated tokens when a stream is resumed on another server.
TEST(attempt_tracker, stream_resumes_after_the_delivered_tokens) {
    auto b = full_budget();
    for (const bool resumable : {true, false}) {
        attempt_tracker tracker{{.resumable = resumable}};
        const auto first = tracker.start(start);
        EXPECT_TRUE(tracker.record_output(first, 3));
        EXPECT_TRUE(tracker.record_output(first, 4));
        tracker.finish(first, {result_code::answer_truncated, true});
        const auto next = tracker.try_next_attempt(b, start);
        EXPECT_EQ(next.allowed, resumable);
        EXPECT_EQ(next.resume_tokens, resumable ? 7U : 0U);
        EXPECT_EQ(tracker.run_state(), run_state::run);
    }
}

// Guards against delivery from two attempts to one caller. The first attempt with output is delivered; when
// it is interrupted, the other one must not continue the stream, because its output was discarded.
TEST(attempt_tracker, hedged_request_delivers_output_of_one_attempt) {
    auto b = full_budget();
    attempt_tracker tracker{{.resumable = true, .hedge_delay = 2s}};
    const auto first = tracker.start(start);
    EXPECT_FALSE(tracker.try_hedge(b, start + 1s).allowed);
    ASSERT_TRUE(tracker.try_hedge(b, start + 2s).allowed);
    const auto second = tracker.start(start + 2s);
    EXPECT_FALSE(tracker.try_hedge(b, start + 9s).allowed);
    EXPECT_TRUE(tracker.redundant_attempts().empty());
    EXPECT_TRUE(tracker.record_output(second, 5));
    EXPECT_EQ(tracker.redundant_attempts(), std::vector{first});
    EXPECT_FALSE(tracker.record_output(first, 1));
    tracker.finish(second, {result_code::answer_truncated, true});
    EXPECT_FALSE(tracker.record_output(first, 1));
    EXPECT_EQ(tracker.redundant_attempts(), std::vector{first});
    EXPECT_FALSE(tracker.finish(first, {result_code::caller_gone, true}));
    EXPECT_EQ(tracker.try_next_attempt(b, start + 3s).resume_tokens, 5U);
}

// Guards against hedges that are not charged to the retry budget.
TEST(attempt_tracker, hedges_spend_the_retry_budget) {
    budget b{{.min_retries = 1}};
    attempt_tracker tracker{{.max_attempts = 5, .hedge_delay = 1s}};
    const auto first = tracker.start(start);
    ASSERT_TRUE(tracker.try_hedge(b, start + 1s).allowed);
    tracker.finish(tracker.start(start + 1s), {result_code::backend_failed, true});
    EXPECT_EQ(tracker.try_hedge(b, start + 2s).reason, result_code::retries_exhausted);
    tracker.finish(first, {result_code::backend_failed, true});
    EXPECT_EQ(tracker.try_next_attempt(b, start + 2s).reason, result_code::retries_exhausted);
}

// Guards against rejecting requests for lack of budget when several servers crash together. A failed
// connection causes no load on a server, so that only the number of such attempts is limited.
TEST(attempt_tracker, unsent_attempts_need_no_budget_but_are_limited) {
    budget b{{.ratio = 0, .overload_ratio = 0, .min_retries = 0}};
    attempt_tracker tracker{{.max_attempts = 1}};
    for (std::uint32_t n = 0; n <= attempt_tracker::max_not_run_attempts; n++) {
        EXPECT_TRUE(tracker.try_next_attempt(b, start).allowed) << n;
        tracker.finish(tracker.start(start), {result_code::connect_failed, false});
    }
    EXPECT_EQ(tracker.try_next_attempt(b, start).reason, result_code::retries_exhausted);
    EXPECT_EQ(tracker.run_state(), run_state::not_run);
}

}  // namespace
}  // namespace chicorygap::retry
