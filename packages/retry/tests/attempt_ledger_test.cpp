#include "retry/attempt_ledger.h"

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
RC_GTEST_PROP(attempt_ledger, claims_are_true_and_execution_is_single, ()) {
    const bool idempotent = *rc::gen::arbitrary<bool>();
    attempt_ledger l{{.idempotent = idempotent, .resumable = true, .max_attempts = 5, .hedge_after = 1s}};
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
                l.progressed(n, 1);
            }
            if (kind == 1) {
                l.finished(n, {result_code::connect_failed, false});
            } else if (kind == 2) {
                l.finished(n, {result_code::backend_refused, true});
            } else {
                executed += kind == 0 ? 0 : *rc::gen::inRange(0, 2);  // the reply was lost or there was none
                l.finished(n, {result_code::first_byte_timeout, true});
            }
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(at));
        }
        if (l.next(b, now).allowed || l.hedge(b, now).allowed) {
            running.push_back(l.start(now));
        }
        RC_ASSERT(l.run_state() != run_state::not_run || (executed == 0 && running.empty()));
        RC_ASSERT(idempotent || executed <= 1);
    }
}

// P9. Guards against "not run" while an adapter may be sending at that moment.
TEST(attempt_ledger, attempt_in_flight_is_unknown) {
    attempt_ledger l{{}};
    EXPECT_EQ(l.run_state(), run_state::not_run);
    const auto n = l.start(start);
    EXPECT_EQ(l.run_state(), run_state::unknown);
    l.finished(n, {result_code::caller_gone, false});
    EXPECT_EQ(l.run_state(), run_state::not_run);
}

// P10. Guards against a second attempt after a byte was sent, even when the server reports a refusal.
TEST(attempt_ledger, non_idempotent_request_is_retried_only_if_it_certainly_did_not_run) {
    auto b = full_budget();
    attempt_ledger l{{.idempotent = false, .max_attempts = 4, .hedge_after = 0s}};
    l.finished(l.start(start), {result_code::connect_failed, false});
    EXPECT_TRUE(l.next(b, start).allowed);
    const auto n = l.start(start);
    EXPECT_FALSE(l.hedge(b, start + 10s).allowed);
    EXPECT_THROW(l.start(start), base::error);
    l.finished(n, {result_code::backend_refused, true});
    EXPECT_EQ(l.run_state(), run_state::not_run);
    const int before = b.available(start);
    EXPECT_TRUE(l.next(b, start).allowed);
    EXPECT_EQ(b.available(start), before - 1);
    l.finished(l.start(start), {result_code::answer_mismatched, true});
    EXPECT_EQ(l.run_state(), run_state::unknown);
    EXPECT_EQ(l.next(b, start).reason, result_code::answer_mismatched);
    EXPECT_THROW(l.start(start), base::error);
}

// Guards against a server's failure of its own counting as a refusal.
TEST(attempt_ledger, non_idempotent_request_is_not_retried_after_a_failed_run) {
    auto b = full_budget();
    attempt_ledger l{{.idempotent = false, .max_attempts = 4}};
    l.finished(l.start(start), {result_code::backend_failed, true});
    EXPECT_EQ(l.run_state(), run_state::unknown);
    EXPECT_FALSE(l.next(b, start).allowed);
    EXPECT_THROW(l.start(start), base::error);
}

// Guards against retries past the deadline, the budget or the attempt limit, and of outcomes that would
// repeat.
TEST(attempt_ledger, retry_is_bounded_by_deadline_budget_count_and_outcome) {
    const auto reason_after = [](request_terms t, budget b, result_code code, base::time_point now) {
        attempt_ledger l{t};
        l.finished(l.start(start), {code, true});
        return l.next(b, now).reason;
    };
    const request_terms t{.deadline = start + 10s, .max_attempts = 2, .least_time = 1s};
    EXPECT_EQ(reason_after(t, full_budget(), result_code::backend_failed, start + 8s), result_code::ok);
    EXPECT_EQ(reason_after(t, full_budget(), result_code::backend_failed, start + 9s),
              result_code::deadline_unreachable);
    EXPECT_EQ(reason_after(t, budget{{.minimum = 0}}, result_code::backend_failed, start),
              result_code::retries_exhausted);
    EXPECT_EQ(reason_after({.max_attempts = 1}, full_budget(), result_code::backend_failed, start),
              result_code::retries_exhausted);
    EXPECT_EQ(reason_after(t, full_budget(), result_code::caller_gone, start), result_code::caller_gone);
}

// Guards against lost or repeated tokens when a stream continues on another server.
TEST(attempt_ledger, stream_resumes_behind_the_delivered_tokens) {
    auto b = full_budget();
    for (const bool resumable : {true, false}) {
        attempt_ledger l{{.resumable = resumable}};
        const auto first = l.start(start);
        EXPECT_TRUE(l.progressed(first, 3));
        EXPECT_TRUE(l.progressed(first, 4));
        l.finished(first, {result_code::answer_truncated, true});
        const auto next = l.next(b, start);
        EXPECT_EQ(next.allowed, resumable);
        EXPECT_EQ(next.resume_tokens, resumable ? 7U : 0U);
        EXPECT_EQ(l.run_state(), run_state::run);
    }
}

// Guards against two attempts feeding one caller: the first with output wins, and when it breaks, the other
// one, whose output was discarded, must not continue the stream.
TEST(attempt_ledger, hedge_feeds_the_caller_from_one_attempt) {
    auto b = full_budget();
    attempt_ledger l{{.resumable = true, .hedge_after = 2s}};
    const auto first = l.start(start);
    EXPECT_FALSE(l.hedge(b, start + 1s).allowed);
    ASSERT_TRUE(l.hedge(b, start + 2s).allowed);
    const auto second = l.start(start + 2s);
    EXPECT_FALSE(l.hedge(b, start + 9s).allowed);
    EXPECT_TRUE(l.redundant().empty());
    EXPECT_TRUE(l.progressed(second, 5));
    EXPECT_EQ(l.redundant(), std::vector{first});
    EXPECT_FALSE(l.progressed(first, 1));
    l.finished(second, {result_code::answer_truncated, true});
    EXPECT_FALSE(l.progressed(first, 1));
    EXPECT_EQ(l.redundant(), std::vector{first});
    EXPECT_FALSE(l.finished(first, {result_code::caller_gone, true}));
    EXPECT_EQ(l.next(b, start + 3s).resume_tokens, 5U);
}

// Guards against hedges outside the retry budget.
TEST(attempt_ledger, hedges_spend_the_retry_budget) {
    budget b{{.minimum = 1}};
    attempt_ledger l{{.max_attempts = 5, .hedge_after = 1s}};
    const auto first = l.start(start);
    ASSERT_TRUE(l.hedge(b, start + 1s).allowed);
    l.finished(l.start(start + 1s), {result_code::backend_failed, true});
    EXPECT_EQ(l.hedge(b, start + 2s).reason, result_code::retries_exhausted);
    l.finished(first, {result_code::backend_failed, true});
    EXPECT_EQ(l.next(b, start + 2s).reason, result_code::retries_exhausted);
}

// Guards against refusing requests for lack of budget when several servers crash together: a refused
// connection costs no server anything, so that only the number of such attempts is bounded.
TEST(attempt_ledger, unsent_attempts_need_no_budget_but_are_bounded) {
    budget b{{.ratio = 0, .overload_ratio = 0, .minimum = 0}};
    attempt_ledger l{{.max_attempts = 1}};
    for (std::uint32_t n = 0; n <= attempt_ledger::max_unsent_attempts; n++) {
        EXPECT_TRUE(l.next(b, start).allowed) << n;
        l.finished(l.start(start), {result_code::connect_failed, false});
    }
    EXPECT_EQ(l.next(b, start).reason, result_code::retries_exhausted);
    EXPECT_EQ(l.run_state(), run_state::not_run);
}

}  // namespace
}  // namespace chicorygap::retry
