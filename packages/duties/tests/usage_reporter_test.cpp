#include "duties/usage_reporter.h"

#include <gtest/gtest.h>

namespace chicorygap::duties {
namespace {

using namespace std::chrono_literals;
using metering::window_number;
using metering::workspace_counts;

const base::workspace_id north{"north"};
constexpr base::time_point start{50s};
/// The end of window 100 of five seconds.
constexpr base::wall_time end_of_100{505'000ms};

struct reporter_test : testing::Test {
    workspace_counts counts{{north, 3}};
    usage_reporter r{{5s, 10s}, [this](window_number) { return counts; }};

    template <typename T>
    static std::vector<T> only(const std::vector<usage_action>& actions, window_number w) {
        std::vector<T> out;
        for (const auto& a : actions) {
            if (const auto* x = std::get_if<T>(&a); x != nullptr && x->window == w) {
                out.push_back(*x);
            }
        }
        return out;
    }
};

constexpr window_number w100{100};

// Guards against reports whose figures differ: what is reported is what the store holds, not what is counted
// now.
TEST_F(reporter_test, reports_what_the_store_holds) {
    ASSERT_EQ(only<store_window>(r.tick(end_of_100 + 1600ms, 1500ms, true, start), w100).size(), 1U);
    r.window_stored(w100, workspace_counts{{north, 2}});  // another holder stored it first
    counts[north] = 9;
    const auto reports = only<report_window>(r.tick(end_of_100 + 1700ms, 1500ms, true, start + 100ms), w100);
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports[0].counts, (workspace_counts{{north, 2}}));
}

TEST_F(reporter_test, lost_report_is_repeated_with_the_same_figures_and_an_accepted_one_is_not) {
    r.tick(end_of_100 + 1600ms, 1500ms, true, start);
    r.window_stored(w100, counts);
    EXPECT_EQ(only<report_window>(r.tick(end_of_100 + 1700ms, 1500ms, true, start + 100ms), w100).size(), 1U);
    EXPECT_TRUE(only<report_window>(r.tick(end_of_100 + 1800ms, 1500ms, true, start + 200ms), w100).empty());
    r.window_reported(w100, report_result::failed);
    const auto again = only<report_window>(r.tick(end_of_100 + 2200ms, 1500ms, true, start + 700ms), w100);
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].counts, counts);
    r.window_reported(w100, report_result::accepted);
    EXPECT_TRUE(only<report_window>(r.tick(end_of_100 + 3s, 1500ms, true, start + 2s), w100).empty());
}

// Guards against counts of a daemon that is cut off going missing although the report is not due yet.
TEST_F(reporter_test, waits_for_daemons_that_are_silent_until_the_report_is_nearly_due) {
    EXPECT_TRUE(only<store_window>(r.tick(end_of_100 + 1600ms, 1500ms, false, start), w100).empty());
    EXPECT_EQ(only<store_window>(r.tick(end_of_100 + 7s, 1500ms, false, start), w100).size(), 1U);
}

// Guards against reports of a large fleet that lack the last counts of most daemons: on utkp-router-grown
// scale-1 a window was off by 3,776 of 5,697 requests.
TEST_F(reporter_test, waits_for_the_last_counts_of_a_large_fleet) {
    EXPECT_TRUE(only<store_window>(r.tick(end_of_100 + 3s, 3500ms, true, start), w100).empty());
    EXPECT_EQ(only<store_window>(r.tick(end_of_100 + 3600ms, 3500ms, true, start), w100).size(), 1U);
    EXPECT_EQ(only<store_window>(r.tick(end_of_100 + 7s, 60s, true, start), w100).size(), 0U) << "in flight";
}

TEST_F(reporter_test, failed_store_call_is_repeated) {
    r.tick(end_of_100 + 1600ms, 1500ms, true, start);
    r.window_stored(w100, std::nullopt);
    EXPECT_TRUE(only<store_window>(r.tick(end_of_100 + 1700ms, 1500ms, true, start + 100ms), w100).empty());
    EXPECT_EQ(only<store_window>(r.tick(end_of_100 + 2100ms, 1500ms, true, start + 500ms), w100).size(), 1U);
}

TEST_F(reporter_test, running_window_is_left_alone_and_earlier_ones_are_made_up_for) {
    const auto actions = r.tick(end_of_100 + 1600ms, 1500ms, true, start);
    EXPECT_TRUE(only<store_window>(actions, window_number{101}).empty());
    EXPECT_EQ(only<store_window>(actions, window_number{97}).size(), 1U);
}

}  // namespace
}  // namespace chicorygap::duties
