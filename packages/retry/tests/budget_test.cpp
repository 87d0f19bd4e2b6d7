#include "retry/budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>

namespace chicorygap::retry {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{1000s};

int spend_all(budget& b, base::time_point now) {
    int n = 0;
    while (b.try_spend(now)) {
        n++;
    }
    return n;
}

// Guards against retries that multiply the load on a failing service.
TEST(budget, retries_are_a_tenth_of_recent_requests_and_a_fiftieth_during_overload) {
    for (const bool overloaded : {false, true}) {
        budget b;
        b.set_overloaded(overloaded);
        for (int i = 0; i < 1000; i++) {
            b.record_request(start + i * 10ms);
        }
        EXPECT_EQ(spend_all(b, start + 10s), overloaded ? 20 : 100);
        EXPECT_EQ(spend_all(b, start + 75s), overloaded ? 0 : 3) << "only requests of the last minute count";
    }
}

// Failure: a burst of failures spends the budget at the end of one second, and again nine seconds later: day
// "busy". Guards against twice the budget within one window.
TEST(budget, spent_retries_count_for_the_whole_window) {
    for (const auto spent_at : {0ms, 500ms, 999ms}) {
        budget b{{.ratio = 0, .min_retries = 0, .extra_retries = 10, .window = 10s}};
        EXPECT_EQ(spend_all(b, start + spent_at), 10);
        for (base::duration later = 100ms; later <= 10s; later += 100ms) {
            EXPECT_EQ(spend_all(b, start + spent_at + later), 0) << later.count();
        }
        EXPECT_EQ(spend_all(b, start + spent_at + 11s), 10);
    }
}

// Guards against bursts at the boundary of two seconds that exceed the ratio. At any time, the number of
// retries is at most a tenth of the requests so far.
RC_GTEST_PROP(budget, never_exceeds_the_ratio, ()) {
    budget b{{.ratio = 0.10, .overload_ratio = 0.02, .min_retries = 0}};
    auto now = start;
    int requests = 0;
    int spent = 0;
    for (int i = 0; i < 200; i++) {
        now += std::chrono::milliseconds{*rc::gen::inRange(0, 1000)};
        const int n = *rc::gen::inRange(0, 30);
        for (int k = 0; k < n; k++) {
            b.record_request(now);
        }
        requests += n;
        spent += *rc::gen::arbitrary<bool>() ? spend_all(b, now) : 0;
        RC_ASSERT(spent <= requests / 10);
    }
}

}  // namespace
}  // namespace chicorygap::retry
