#include "crash_guard/end_rates.h"

#include <gtest/gtest.h>

#include <set>

namespace chicorygap::crash_guard {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{1000s};

TEST(end_rates, ends_are_counted_by_server_and_second_without_those_explained) {
    end_rates r;
    r.set_server_count(10);
    for (std::uint64_t i = 0; i < 4; ++i) {
        EXPECT_TRUE(r.record_end(i, start + std::chrono::seconds{i}));
        EXPECT_FALSE(r.record_end(i, start + std::chrono::seconds{i + 1})) << "told by a peer";
    }
    EXPECT_DOUBLE_EQ(r.ends_without(std::set<std::uint64_t>{}, start, start + 10s), 0.05);
    EXPECT_DOUBLE_EQ(r.ends_without(std::set<std::uint64_t>{0, 1, 2}, start, start + 10s), 0.02);
}

// Guards against rates that forget a wave of ends while a rare part is still weighed against it.
TEST(end_rates, cover_the_time_of_the_evidence) {
    end_rates r;
    r.set_server_count(10);
    for (std::uint64_t i = 0; i < 19; ++i) {
        r.record_end(i, start);
    }
    r.expire(start + 30s);
    EXPECT_DOUBLE_EQ(r.ends_without(std::set<std::uint64_t>{}, start, start + 40s), 20.0 / 400);
    EXPECT_DOUBLE_EQ(r.ends_without(std::set<std::uint64_t>{}, start + 30s, start + 40s), 0.01);
}

TEST(end_rates, breaks_of_the_part_itself_are_not_counted) {
    end_rates r;
    for (int i = 0; i < 18; ++i) {
        r.record_answer(start);
    }
    r.record_break({1, 7}, start);
    r.record_break({1, 8}, start);
    EXPECT_DOUBLE_EQ(r.break_share_without(7, start), 2.0 / 21);
    EXPECT_DOUBLE_EQ(r.break_share_without(9, start), 3.0 / 22);
    EXPECT_DOUBLE_EQ(r.break_share_without(9, start + 20s), 0.5);
}

// Load: a large fleet observes many requests, of which some are met by chance.
TEST(end_rates, significance_falls_with_the_requests_of_the_fleet) {
    end_rates r;
    EXPECT_DOUBLE_EQ(r.significance(start), 0.002 / 20);
    for (int i = 0; i < 100; ++i) {
        r.record_answer(start);
    }
    EXPECT_DOUBLE_EQ(r.significance(start), 0.002 / 100);
    r.set_daemon_count(300);
    EXPECT_DOUBLE_EQ(r.significance(start), 0.002 / 30000);
}

}  // namespace
}  // namespace chicorygap::crash_guard
