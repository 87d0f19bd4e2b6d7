#include "retry/fleet_share.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <vector>

namespace chicorygap::retry {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{1000s};
constexpr base::duration window = 10s;

// Failure: a zone with two of six daemons is cut off for 15 s, and each side divides all retries of the fleet
// among the daemons that it hears. Guards against more retries than the fleet may send.
TEST(fleet_share, both_sides_of_a_cut_keep_their_shares) {
    constexpr double allowance = 46;
    std::vector<fleet_share> daemons(6, fleet_share{start - 1min, window});
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
    std::vector<fleet_share> daemons(n, fleet_share{start - 1min, window});
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
    fleet_share s{start - 1min, window};
    EXPECT_EQ(s.update(6, start), 6U);
    EXPECT_EQ(s.update(4, start + 1min), 6U);
    EXPECT_EQ(s.update(3, start + 9min), 6U);
    EXPECT_EQ(s.update(3, start + 10min + 1s), 4U);
    EXPECT_EQ(s.update(3, start + 12min), 3U);
}

// Guards against a daemon that joins a fleet whose others go on to spend their larger shares.
TEST(fleet_share, shrinks_at_once_in_a_fleet_that_grows) {
    fleet_share s{start - 1min, window};
    EXPECT_EQ(s.update(2, start), 2U);
    EXPECT_EQ(s.update(7, start + 1s), 7U);
}

// Failure: issue 40, daemons that start again spend a full share each time. Guards against more retries than
// the fleet may send in any window, whichever daemons start again and whenever.
RC_GTEST_PROP(fleet_share, daemons_that_start_again_do_not_exceed_the_whole, ()) {
    constexpr int allowance = 60;
    const auto n = *rc::gen::inRange<std::size_t>(1, 7);
    struct daemon {
        fleet_share share;
        std::deque<base::time_point> spends;
    };
    std::vector<daemon> daemons(n, daemon{fleet_share{start - 1min, window}, {}});
    std::deque<base::time_point> all;
    for (auto now = start; now < start + 40s; now += 100ms) {
        for (auto& d : daemons) {
            if (*rc::gen::inRange(0, 30) == 0) {
                d = daemon{fleet_share{now, window}, {}};
            }
            const auto share =
                static_cast<std::size_t>(d.share.share(allowance, d.share.update(n, now), now));
            while (!d.spends.empty() && now - d.spends.front() >= window) {
                d.spends.pop_front();
            }
            while (d.spends.size() < share) {
                d.spends.push_back(now);
                all.push_back(now);
            }
        }
        while (!all.empty() && now - all.front() >= window) {
            all.pop_front();
        }
        RC_ASSERT(all.size() <= allowance);
    }
}

// Failure: a daemon starts while it hears only part of the fleet. Guards against a share of the part that is
// heard, while the others keep theirs.
TEST(fleet_share, daemon_that_starts_in_a_cut_learns_the_size_from_its_peers) {
    fleet_share old{start - 1min, window};
    ASSERT_EQ(old.update(6, start), 6U);
    ASSERT_EQ(old.update(2, start + 5s), 6U);
    fleet_share started{start + 6s, window};
    EXPECT_EQ(started.update(2, start + 7s), 2U);
    started.merge(*old.largest());
    EXPECT_EQ(started.update(2, start + 8s), 6U);
    EXPECT_EQ(started.update(2, start + 10min + 1s), 2U) << "the peer's observation does not grow younger";
}

TEST(fleet_share, is_nothing_until_earlier_retries_are_over) {
    fleet_share s{start, window};
    EXPECT_EQ(s.share(60, 3, start + 9s), 0);
    EXPECT_EQ(s.share(60, 3, start + 10s), 20);
}

}  // namespace
}  // namespace chicorygap::retry
