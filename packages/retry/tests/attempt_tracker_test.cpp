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

// P9 and P10. Guards against a "not run" claim about an executed request and against a second execution of a
// non-idempotent one, whatever the order of attempts, hedges, output and ends. `executed` is what the backend
// servers really did: an attempt may have been executed as soon as a byte of it was sent and the server did
// not refuse it.
RC_GTEST_PROP(attempt_tracker, claims_are_true_and_execution_is_single, ()) {
    const bool idempotent = *rc::gen::arbitrary<bool>();
    attempt_tracker l{{.idempotent = idempotent, .resumable = true, .max_attempts = 5, .hedge_delay = 1s}};
    auto b = full_budget();
    auto now = start;
    int executed = 0;
    std::vector<std::uint32_t> running{l.start(now)};
    for (int step = 0; step < 12; step++) {
        now += std::chrono::milliseconds{*rc::gen::inRange(0, 2000)};
        if (!running.empty()) {
            const auto at = *rc::gen::inRange<std::size_t>(0, running.size());
            const auto n = running[at];
            const int kind = *rc::gen::inRange(0, 5);
            if (kind == 0) {  // executed with output, then interrupted
                executed++;
                l.record_output(n, 1);
            }
            if (kind == 1) {
                l.finish(n, {result_code::connect_failed, false});
            } else if (kind == 2) {
                l.finish(n, {result_code::backend_refused, true});
            } else {
                executed += kind == 0 ? 0 : *rc::gen::inRange(0, 2);  // the reply was lost or there was none
                l.finish(n, {result_code::first_byte_timeout, true});
            }
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(at));
        }
        if (l.try_next_attempt(b, now).allowed || l.try_hedge(b, now).allowed) {
            running.push_back(l.start(now));
        }
        RC_ASSERT(l.run_state() != run_state::not_run || (executed == 0 && running.empty()));
        RC_ASSERT(idempotent || executed <= 1);
    }
}

// P9. Guards against "not run" while an adapter may be sending at that moment.
TEST(attempt_tracker, attempt_in_flight_is_unknown) {
    attempt_tracker l{{}};
    EXPECT_EQ(l.run_state(), run_state::not_run);
    const auto n = l.start(start);
    EXPECT_EQ(l.run_state(), run_state::unknown);
    l.finish(n, {result_code::caller_gone, false});
    EXPECT_EQ(l.run_state(), run_state::not_run);
}

// P10. Guards against a second attempt after a byte was sent, even when the server reports a refusal.
TEST(attempt_tracker, non_idempotent_request_is_retried_only_if_it_certainly_did_not_run) {
    auto b = full_budget();
    attempt_tracker l{{.idempotent = false, .max_attempts = 4, .hedge_delay = 0s}};
    l.finish(l.start(start), {result_code::connect_failed, false});
    EXPECT_TRUE(l.try_next_attempt(b, start).allowed);
    const auto n = l.start(start);
    EXPECT_FALSE(l.try_hedge(b, start + 10s).allowed);
    EXPECT_THROW(l.start(start), base::error);
    l.finish(n, {result_code::backend_refused, true});
    EXPECT_EQ(l.run_state(), run_state::not_run);
    const int before = b.available(start);
    EXPECT_TRUE(l.try_next_attempt(b, start).allowed);
    EXPECT_EQ(b.available(start), before - 1);
    l.finish(l.start(start), {result_code::answer_mismatched, true});
    EXPECT_EQ(l.run_state(), run_state::unknown);
    EXPECT_EQ(l.try_next_attempt(b, start).reason, result_code::answer_mismatched);
    EXPECT_THROW(l.start(start), base::error);
}

// Guards against a server's failure of its own counting as a refusal.
TEST(attempt_tracker, non_idempotent_request_is_not_retried_after_a_failed_run) {
    auto b = full_budget();
    attempt_tracker l{{.idempotent = false, .max_attempts = 4}};
    l.finish(l.start(start), {result_code::backend_failed, true});
    EXPECT_EQ(l.run_state(), run_state::unknown);
    EXPECT_FALSE(l.try_next_attempt(b, start).allowed);
    EXPECT_THROW(l.start(start), base::error);
}

// Guards against retries past the deadline, the budget or the attempt limit, and of outcomes that would
// repeat.
TEST(attempt_tracker, retry_is_bounded_by_deadline_budget_count_and_outcome) {
    const auto reason_after = [](retry_policy t, budget b, result_code code, base::time_point now) {
        attempt_tracker l{t};
        l.finish(l.start(start), {code, true});
        return l.try_next_attempt(b, now).reason;
    };
    const retry_policy t{.deadline = start + 10s, .max_attempts = 2, .min_attempt_time = 1s};
    EXPECT_EQ(reason_after(t, full_budget(), result_code::backend_failed, start + 8s), result_code::ok);
    EXPECT_EQ(reason_after(t, full_budget(), result_code::backend_failed, start + 9s),
              result_code::deadline_unreachable);
    EXPECT_EQ(reason_after(t, budget{{.min_retries = 0}}, result_code::backend_failed, start),
              result_code::retries_exhausted);
    EXPECT_EQ(reason_after({.max_attempts = 1}, full_budget(), result_code::backend_failed, start),
              result_code::retries_exhausted);
    EXPECT_EQ(reason_after(t, full_budget(), result_code::caller_gone, start), result_code::caller_gone);
}

// Guards against lost or repeated tokens when a stream continues on another server.
TEST(attempt_tracker, stream_resumes_behind_the_delivered_tokens) {
    auto b = full_budget();
    for (const bool resumable : {true, false}) {
        attempt_tracker l{{.resumable = resumable}};
        const auto first = l.start(start);
        EXPECT_TRUE(l.record_output(first, 3));
        EXPECT_TRUE(l.record_output(first, 4));
        l.finish(first, {result_code::answer_truncated, true});
        const auto next = l.try_next_attempt(b, start);
        EXPECT_EQ(next.allowed, resumable);
        EXPECT_EQ(next.resume_tokens, resumable ? 7U : 0U);
        EXPECT_EQ(l.run_state(), run_state::run);
    }
}

// Guards against two attempts feeding one caller: the first with output wins, and when it breaks, the other
// one, whose output was discarded, must not continue the stream.
TEST(attempt_tracker, hedge_feeds_the_caller_from_one_attempt) {
    auto b = full_budget();
    attempt_tracker l{{.resumable = true, .hedge_delay = 2s}};
    const auto first = l.start(start);
    EXPECT_FALSE(l.try_hedge(b, start + 1s).allowed);
    ASSERT_TRUE(l.try_hedge(b, start + 2s).allowed);
    const auto second = l.start(start + 2s);
    EXPECT_FALSE(l.try_hedge(b, start + 9s).allowed);
    EXPECT_TRUE(l.redundant_attempts().empty());
    EXPECT_TRUE(l.record_output(second, 5));
    EXPECT_EQ(l.redundant_attempts(), std::vector{first});
    EXPECT_FALSE(l.record_output(first, 1));
    l.finish(second, {result_code::answer_truncated, true});
    EXPECT_FALSE(l.record_output(first, 1));
    EXPECT_EQ(l.redundant_attempts(), std::vector{first});
    EXPECT_FALSE(l.finish(first, {result_code::caller_gone, true}));
    EXPECT_EQ(l.try_next_attempt(b, start + 3s).resume_tokens, 5U);
}

// Guards against hedges outside the retry budget.
TEST(attempt_tracker, hedges_spend_the_retry_budget) {
    budget b{{.min_retries = 1}};
    attempt_tracker l{{.max_attempts = 5, .hedge_delay = 1s}};
    const auto first = l.start(start);
    ASSERT_TRUE(l.try_hedge(b, start + 1s).allowed);
    l.finish(l.start(start + 1s), {result_code::backend_failed, true});
    EXPECT_EQ(l.try_hedge(b, start + 2s).reason, result_code::retries_exhausted);
    l.finish(first, {result_code::backend_failed, true});
    EXPECT_EQ(l.try_next_attempt(b, start + 2s).reason, result_code::retries_exhausted);
}

// Guards against refusing requests for lack of budget when several servers crash together: a refused
// connection costs no server anything, so that only the number of such attempts is bounded.
TEST(attempt_tracker, unsent_attempts_need_no_budget_but_are_bounded) {
    budget b{{.ratio = 0, .overload_ratio = 0, .min_retries = 0}};
    attempt_tracker l{{.max_attempts = 1}};
    for (std::uint32_t n = 0; n <= attempt_tracker::max_not_run_attempts; n++) {
        EXPECT_TRUE(l.try_next_attempt(b, start).allowed) << n;
        l.finish(l.start(start), {result_code::connect_failed, false});
    }
    EXPECT_EQ(l.try_next_attempt(b, start).reason, result_code::retries_exhausted);
    EXPECT_EQ(l.run_state(), run_state::not_run);
}

}  // namespace
}  // namespace chicorygap::retry
