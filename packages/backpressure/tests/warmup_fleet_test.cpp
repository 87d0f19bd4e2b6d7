// Load: servers become cold while all daemons of a fleet have more requests than the warm ones take.
#include "warmup_fleet.h"

#include <gtest/gtest.h>

namespace chicorygap::backpressure {
namespace {

using namespace std::chrono_literals;

/// 10 requests per second times 1.5, and 5.
constexpr std::ptrdiff_t bound = 20;

struct warmup_fleet_test : testing::TestWithParam<std::size_t> {
    [[nodiscard]] static warmup_fleet::options make_options(std::uint64_t seed) {
        return {.daemons = GetParam(),
                .servers = GetParam() > 12 ? std::size_t{20} : std::size_t{6},
                .seed = seed};
    }
    /// Replaces each server by a new instance.
    static void release(warmup_fleet& f) {
        for (std::size_t i = 0; i < make_options(0).servers; ++i) {
            f.replace(i);
        }
    }
};

// Guards against daemons that all send to a server which looks idle, and against a bound that is kept by
// sending almost nothing.
TEST_P(warmup_fleet_test, whole_release_is_cold_during_a_burst) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        warmup_fleet f{make_options(seed)};
        f.run(2s);
        f.load = 5;
        release(f);
        f.run(4s);
        EXPECT_LE(f.most_cold_arrivals(), bound) << seed;
        EXPECT_GE(static_cast<double>(f.cold_arrivals()), 3.0 * static_cast<double>(make_options(0).servers))
            << seed;
    }
}

// Guards against requests that wait for a cold server while others take them.
TEST_P(warmup_fleet_test, requests_go_to_warm_servers) {
    warmup_fleet f{make_options(1)};
    f.run(2s);
    f.load = 5;
    f.replace(0);
    f.run(4s);
    EXPECT_LE(f.most_cold_arrivals(), bound);
    EXPECT_EQ(f.waiting(), 0U);
}

// Failure: the fleet is cut in three while servers are cold. Guards against parts that each use all that a
// cold server takes.
TEST_P(warmup_fleet_test, bound_is_kept_by_the_parts_of_a_partition) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        warmup_fleet f{make_options(seed)};
        f.run(2s);
        f.load = 5;
        f.cut = [](std::size_t a, std::size_t b) { return a % 3 != b % 3; };
        release(f);
        f.run(3s);
        // Longer than a daemon's part of a limit is kept while it is silent.
        f.load = 0.1;
        f.run(65s);
        f.load = 5;
        release(f);
        f.run(4s);
        EXPECT_LE(f.most_cold_arrivals(), bound) << seed;
    }
}

// Failure: daemons are killed and started again, within a partition. Guards against a new process that takes
// itself for one of the few that send.
TEST_P(warmup_fleet_test, bound_is_kept_while_daemons_restart) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        warmup_fleet f{make_options(seed)};
        f.run(2s);
        f.load = 5;
        release(f);
        f.cut = [](std::size_t a, std::size_t b) { return a % 4 != b % 4; };
        for (std::size_t i = 0; i < GetParam(); ++i) {
            f.restart(i);
            f.run(std::chrono::milliseconds{3000 / GetParam()});
        }
        release(f);
        f.run(4s);
        EXPECT_LE(f.most_cold_arrivals(), bound) << seed;
    }
}

// Failure: the daemons disagree on which of them are alive. Guards against shares that depend on it.
TEST_P(warmup_fleet_test, bound_is_kept_while_daemons_see_different_ones) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        warmup_fleet f{make_options(seed)};
        f.run(2s);
        f.cut = [seed](std::size_t a, std::size_t b) { return (a * 31 + b * 17 + seed) % 3 == 0; };
        f.run(3s);
        f.load = 5;
        release(f);
        f.run(4s);
        EXPECT_LE(f.most_cold_arrivals(), bound) << seed;
    }
}

// Failure: a server becomes cold again under its old entry, and its entry says so 1.2 s later.
TEST_P(warmup_fleet_test, server_that_becomes_cold_again_gets_no_more_under_usual_load) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        auto o = make_options(seed);
        o.servers = o.daemons;  // 5 requests per second each
        warmup_fleet f{o};
        f.run(2s);
        for (std::size_t i = 0; i < 6; ++i) {
            f.make_cold(i, 1200ms);
            f.run(500ms);
        }
        f.run(4s);
        EXPECT_LE(f.most_cold_arrivals(), bound) << seed;
    }
}

// Failure: the same, while one daemon has many requests whose prompts that server has cached.
TEST_P(warmup_fleet_test, hot_prompt_does_not_overrun_a_server_that_becomes_cold_again) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        auto o = make_options(seed);
        o.servers = o.daemons;
        warmup_fleet f{o};
        f.hot_requests_per_s = 15;
        f.run(2s);
        f.make_cold(0, 1200ms);
        f.run(4s);
        EXPECT_LE(f.most_cold_arrivals(), bound) << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(fleets, warmup_fleet_test, testing::Values<std::size_t>(6, 12, 62));

}  // namespace
}  // namespace chicorygap::backpressure
