#include "retry/fleet_share.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <vector>

namespace chicorygap::retry {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{1000s};

// Failure: a zone with two of six daemons is cut off for 15 s, and each side divides all retries of the fleet
// among the daemons that it hears. Guards against more retries than the fleet may send.
TEST(fleet_share, both_sides_of_a_cut_keep_their_shares) {
    constexpr double allowance = 46;
    std::vector<fleet_share> daemons(6);
    for (auto now = start; now < start + 40s; now += 100ms) {
        const bool cut = now >= start + 5s && now < start + 20s;
        double spent = 0;
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            const std::size_t live = !cut ? 6 : i < 2 ? 2 : 4;
            spent += allowance / static_cast<double>(daemons[i].update(live, now));
        }
        ASSERT_LE(spent, allowance + 1e-9) << (now - start) / 1ms << " ms";
    }
}

// Load: a cut divides a fleet into any parts, which are cut again. Guards against a sum of shares above the
// whole.
RC_GTEST_PROP(fleet_share, shares_never_exceed_the_whole_in_cuts_shorter_than_the_memory, ()) {
    const auto n = *rc::gen::inRange<std::size_t>(1, 13);
    std::vector<fleet_share> daemons(n);
    auto now = start;
    for (auto& d : daemons) {
        RC_ASSERT(d.update(n, now) == n);
    }
    for (int step = 0; step < 20; ++step) {
        now += std::chrono::seconds{*rc::gen::inRange(0, 29)};
        const auto sides =
            *rc::gen::container<std::vector<std::size_t>>(n, rc::gen::inRange<std::size_t>(0, 4));
        double sum = 0;
        for (std::size_t i = 0; i < n; ++i) {
            const auto live = static_cast<std::size_t>(std::count(sides.begin(), sides.end(), sides[i]));
            sum += 1.0 / static_cast<double>(daemons[i].update(live, now));
        }
        RC_ASSERT(sum <= 1 + 1e-9);
    }
}

// Guards against daemons that keep small shares for ever after a fleet has shrunk.
TEST(fleet_share, grows_again_in_a_fleet_that_has_shrunk) {
    fleet_share s;
    EXPECT_EQ(s.update(6, start), 6U);
    EXPECT_EQ(s.update(4, start + 1min), 6U);
    EXPECT_EQ(s.update(3, start + 9min), 6U);
    EXPECT_EQ(s.update(3, start + 10min + 1s), 4U);
    EXPECT_EQ(s.update(3, start + 12min), 3U);
}

// Guards against a daemon that joins a fleet whose others go on to spend their larger shares.
TEST(fleet_share, shrinks_at_once_in_a_fleet_that_grows) {
    fleet_share s;
    EXPECT_EQ(s.update(2, start), 2U);
    EXPECT_EQ(s.update(7, start + 1s), 7U);
}

}  // namespace
}  // namespace chicorygap::retry
