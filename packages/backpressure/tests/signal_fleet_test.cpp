// Load: all daemons of a fleet have requests for a server that names a limit.
#include "signal_fleet.h"

#include <gtest/gtest.h>

namespace chicorygap::backpressure {
namespace {

using namespace std::chrono_literals;

/// Time from the first response with a limit until the fleet must keep to it.
constexpr base::duration reaction_time = 3s;
constexpr base::duration window = 4s;

/// @return requests that a server with the limit may get in the window.
double allowed(double limit) {
    return 1.5 * 4 * limit + 5;
}

struct signal_fleet_test : testing::TestWithParam<std::tuple<std::size_t, double>> {
    [[nodiscard]] static signal_fleet::options make_options(std::uint64_t seed) {
        const auto daemons = std::get<0>(GetParam());
        signal_fleet::options o{.daemons = daemons, .seed = seed};
        if (daemons > 12) {
            o.zones = 5;
            o.within_zones = true;
            o.requests_per_s = 4;
            o.beacon_interval = 15ms * static_cast<int>(daemons / o.zones);
        }
        return o;
    }
    [[nodiscard]] static double limit() { return std::get<1>(GetParam()); }
};

TEST_P(signal_fleet_test, limit_is_kept_and_used) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        signal_fleet f{make_options(seed)};
        f.run(2s);
        f.limit = limit();
        const auto named_at = f.now();
        f.run(20s);
        EXPECT_LE(f.most_arrivals(named_at + reaction_time, window), allowed(limit())) << seed;
        EXPECT_GE(f.arrivals_since(named_at + reaction_time), 0.7 * 17 * limit()) << seed;
    }
}

// Failure: a zone is cut off while a burst hits both sides. Guards against two sides that both use the whole
// limit.
TEST_P(signal_fleet_test, limit_is_kept_by_both_sides_of_a_partition) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        signal_fleet f{make_options(seed)};
        f.limit = limit();
        const auto named_at = f.now();
        f.run(8s);
        f.cut = [](std::size_t a, std::size_t b) { return (a % 2 == 0) != (b % 2 == 0); };
        for (std::size_t i = 0; i < std::get<0>(GetParam()); ++i) {
            f.set_load(i, 3);
        }
        f.run(15s);
        EXPECT_LE(f.most_arrivals(named_at + reaction_time, window), allowed(limit())) << seed;
    }
}

// Failure: daemons are killed and started again one after the other. Guards against a new process that uses
// the whole limit.
TEST_P(signal_fleet_test, limit_is_kept_while_daemons_restart) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        signal_fleet f{make_options(seed)};
        f.limit = limit();
        const auto named_at = f.now();
        f.run(5s);
        for (std::size_t i = 0; i < 6; ++i) {
            f.restart(i, f.now());
            f.run(1s);
        }
        f.run(5s);
        EXPECT_LE(f.most_arrivals(named_at + reaction_time, window), allowed(limit())) << seed;
    }
}

// Load: the callers of one daemon move to another one.
TEST_P(signal_fleet_test, limit_is_kept_and_used_while_the_demand_moves) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        signal_fleet f{make_options(seed)};
        f.limit = limit();
        const auto named_at = f.now();
        f.run(5s);
        const auto daemons = std::get<0>(GetParam());
        for (std::size_t i = 0; i < daemons; ++i) {
            f.set_load(i, i < daemons / 2 ? 0.01 : 2);
        }
        f.run(10s);
        const auto moved_at = f.now();
        f.run(10s);
        EXPECT_LE(f.most_arrivals(named_at + reaction_time, window), allowed(limit())) << seed;
        EXPECT_GE(f.arrivals_since(moved_at), 0.4 * 10 * limit()) << seed;
    }
}

TEST_P(signal_fleet_test, limit_ends_after_its_server_names_none) {
    signal_fleet f{make_options(1)};
    f.limit = limit();
    f.run(10s);
    f.limit = std::nullopt;
    f.run(10s);
    const auto free_at = f.now();
    f.run(2s);
    EXPECT_GT(f.arrivals_since(free_at), 40);
}

INSTANTIATE_TEST_SUITE_P(fleets, signal_fleet_test,
                         testing::Combine(testing::Values<std::size_t>(6, 12, 62),
                                          testing::Values(0.0, 1.0, 3.3, 20.0)));

}  // namespace
}  // namespace chicorygap::backpressure
