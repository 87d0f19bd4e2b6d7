#include "duties/recent_maximum.h"

#include <gtest/gtest.h>

namespace chicorygap::duties {
namespace {

using namespace std::chrono_literals;

// Load: the fleet shrinks from 62 to 40 daemons. Guards against usage windows that wait for the counts of
// daemons that are gone for good.
TEST(recent_maximum, value_counts_for_at_least_one_and_at_most_two_periods) {
    recent_maximum m{10s};
    EXPECT_EQ(m.value(), 0U);
    base::time_point now{100s};
    m.observe(62, now);
    for (; now < base::time_point{110s}; now += 1s) {
        m.observe(40, now);
        EXPECT_EQ(m.value(), 62U);
    }
    for (; now <= base::time_point{121s}; now += 1s) {
        m.observe(40, now);
    }
    EXPECT_EQ(m.value(), 40U);
    m.observe(41, now + 60s);
    EXPECT_EQ(m.value(), 41U);
}

}  // namespace
}  // namespace chicorygap::duties
