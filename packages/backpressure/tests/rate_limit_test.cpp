#include "backpressure/rate_limit.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <vector>

namespace chicorygap::backpressure {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{1000s};
constexpr server_key server = 7;

TEST(rate_limit, named_limit_is_in_force_until_responses_name_none) {
    rate_limit l;
    EXPECT_FALSE(l.active());
    EXPECT_TRUE(l.named(2, 1, start));
    EXPECT_TRUE(l.active());
    EXPECT_EQ(l.rate(), 2);
    for (std::uint32_t i = 1; i <= 3; ++i) {
        EXPECT_TRUE(l.not_named(start + i * 100ms, 1 + i));
    }
    EXPECT_FALSE(l.active());
}

// Failure: a server omits its limit from one response, such as a rejection. Guards against a burst to it.
TEST(rate_limit, single_response_without_a_limit_raises_it_only) {
    rate_limit l;
    l.named(2, 1, start);
    l.not_named(start + 100ms, 2);
    EXPECT_TRUE(l.active());
    EXPECT_EQ(l.rate(), 8);
    l.named(2, 3, start + 200ms);
    EXPECT_EQ(l.rate(), 2);
}

// Failure: a response that was sent before the server named its limit arrives late.
TEST(rate_limit, response_to_an_earlier_request_does_not_raise_the_limit) {
    rate_limit l;
    l.named(2, 1, start);
    EXPECT_FALSE(l.not_named(start - 1ms, 2));
    EXPECT_EQ(l.rate(), 2);
}

// Guards against a server that is never asked again, so that the end of its limit is not noticed.
TEST(rate_limit, server_that_takes_no_requests_is_asked_every_few_seconds) {
    rate_limit l;
    l.named(0, 1, start);
    EXPECT_GT(l.rate(), 0.1);
    EXPECT_LT(l.rate(), 0.5);
    EXPECT_EQ(l.named_rate(), 0);
}

TEST(rate_limit, small_changes_are_not_reported) {
    rate_limit l;
    EXPECT_TRUE(l.named(2, 1, start));
    EXPECT_FALSE(l.named(2.05, 2, start + 1s));
    EXPECT_EQ(l.rate(), 2.05);
    EXPECT_TRUE(l.named(3, 3, start + 2s));
}

TEST(rate_limit, merging_records_in_any_order_and_repeatedly_gives_the_same_limit) {
    const std::array records{limit_record{server, 11, 2, 0, 900ms}, limit_record{server, 12, 2, 1, 500ms},
                             limit_record{server, 13, 3, 0, 200ms}, limit_record{server, 14, 2, 2, 400ms}};
    std::vector<std::size_t> order{0, 1, 2, 3, 1, 3};
    std::sort(order.begin(), order.end());
    do {
        rate_limit l;
        for (const auto i : order) {
            l.merge(records[i], start);
        }
        EXPECT_EQ(l.rate(), 3);
        EXPECT_EQ(l.record(server, start), records[2]);
    } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against a statement that becomes newer each time that a peer repeats it, and hides the end of the
// limit.
TEST(rate_limit, statement_does_not_become_newer_when_peers_repeat_it) {
    rate_limit a;
    rate_limit b;
    a.named(2, 1, start);
    auto now = start;
    for (int i = 0; i < 50; ++i) {
        now += 500ms;
        b.merge(a.record(server, now), now + 400ms);
        now += 500ms;
        a.merge(b.record(server, now), now + 400ms);
    }
    EXPECT_EQ(a.age(now), now - start);
    EXPECT_LE(now - start - b.age(now), 400ms);
}

}  // namespace
}  // namespace chicorygap::backpressure
