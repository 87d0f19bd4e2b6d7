#include "backpressure/demand_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

namespace chicorygap::backpressure {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{1000s};
const base::service_id service{"s"};
const base::zone_id zone{"z0"};

std::string vm_name(std::size_t i) {
    return "vm" + std::to_string(i);
}

/// The tables of a fleet whose daemons have the given demands, in zones by turns.
struct fleet {
    fleet(const std::vector<double>& demands, std::size_t zones, bool within_zones) {
        for (std::size_t i = 0; i < demands.size(); ++i) {
            tables.emplace_back(base::vm_id{vm_name(i)}, zone_of(i, zones), start - 1h);
            tables.back().set_parameters(
                {.within_zones = within_zones, .known_daemons = within_zones ? 1 : demands.size()});
            // Fills the average of the demand.
            for (int k = 0; k < 400; ++k) {
                for (int n = 0; n < std::lround(demands[i] * 10); ++n) {
                    tables.back().record_arrival(service, start - 40s + k * 100ms);
                }
            }
        }
        for (std::size_t i = 0; i < demands.size(); ++i) {
            for (std::size_t k = 0; k < demands.size(); ++k) {
                if (i != k) {
                    tables[i].observe_peer(base::vm_id{vm_name(k)}, zone_of(k, zones),
                                           tables[k].local_demands(start), false, start);
                }
            }
        }
    }

    static base::zone_id zone_of(std::size_t i, std::size_t zones) {
        return base::zone_id{"z" + std::to_string(i % zones)};
    }

    [[nodiscard]] std::vector<double> fractions(server_key server, double rate,
                                                const base::zone_id& server_zone = zone) const {
        std::vector<double> out;
        for (const auto& t : tables) {
            out.push_back(t.share(server, service, server_zone, rate, start).fraction);
        }
        return out;
    }

    std::vector<demand_table> tables;
};

double sum(const std::vector<double>& list) {
    double out = 0;
    for (const double x : list) {
        out += x;
    }
    return out;
}

// Load: more callers at one daemon than at the others. Guards against shares that nobody uses.
TEST(demand_table, limit_is_divided_in_proportion_to_the_demands) {
    const fleet f{{4, 1, 1, 2}, 1, false};
    const auto shares = f.fractions(1, 5);
    EXPECT_NEAR(sum(shares), 1, 0.001);
    EXPECT_NEAR(shares[0], 0.5, 0.01);
    EXPECT_NEAR(shares[3], 0.25, 0.01);
}

TEST(demand_table, daemon_without_recent_requests_keeps_a_small_share) {
    const fleet f{{4, 0, 4}, 1, false};
    const auto shares = f.fractions(1, 5);
    EXPECT_GT(shares[1], 0);
    EXPECT_LT(shares[1], 0.1);
}

// Load: 62 daemons and a server that takes one request a second. Guards against equal shares of less than one
// request a minute, and against a burst of all daemons.
TEST(demand_table, small_limit_is_divided_among_few_daemons) {
    const fleet f{std::vector<double>(62, 1.0), 5, false};
    for (server_key server = 1; server <= 20; ++server) {
        const auto shares = f.fractions(server, 1);
        EXPECT_NEAR(sum(shares), 1, 0.001);
        EXPECT_EQ(std::count_if(shares.begin(), shares.end(), [](double x) { return x > 0; }), 4);
    }
}

// Load: most callers have left some of the daemons. Guards against a limit that only idle daemons may use.
TEST(demand_table, idle_daemons_are_selected_last) {
    std::vector<double> demands(12, 4.0);
    std::fill_n(demands.begin(), 6, 0.0);
    const fleet f{demands, 1, false};
    for (server_key server = 1; server <= 20; ++server) {
        const auto shares = f.fractions(server, 1);
        EXPECT_EQ(std::count(shares.begin(), shares.begin() + 6, 0), 6);
        EXPECT_NEAR(sum(shares), 1, 0.001);
    }
}

TEST(demand_table, servers_are_spread_over_the_daemons) {
    const fleet f{std::vector<double>(20, 1.0), 1, false};
    std::vector<int> servers_of(20);
    for (server_key server = 1; server <= 100; ++server) {
        const auto shares = f.fractions(server, 1);
        for (std::size_t i = 0; i < shares.size(); ++i) {
            servers_of[i] += shares[i] > 0 ? 1 : 0;
        }
    }
    for (const int n : servers_of) {
        EXPECT_GT(n, 5);
    }
}

// Load: a fleet in which the zones tell each other only sums.
TEST(demand_table, limit_is_divided_within_the_zone_of_the_server_in_large_fleets) {
    const fleet f{std::vector<double>(30, 1.0), 3, true};
    const auto shares = f.fractions(1, 2, base::zone_id{"z1"});
    EXPECT_NEAR(sum(shares), 1, 0.001);
    for (std::size_t i = 0; i < shares.size(); ++i) {
        EXPECT_TRUE(shares[i] == 0 || i % 3 == 1) << i;
    }
    EXPECT_NEAR(sum(f.fractions(1, 2, base::zone_id{"no daemon there"})), 1, 0.001);
}

// Failure: a peer falls silent. Guards against taking over its part, which it may still use beyond a
// partition.
TEST(demand_table, silent_peer_keeps_its_part_and_the_division_is_incomplete) {
    auto t = fleet{{1, 1}, 1, false}.tables[0];
    EXPECT_TRUE(t.share(1, service, zone, 5, start).complete);
    t.expire(start + 10s);
    t.record_arrival(service, start + 10s);
    EXPECT_FALSE(t.share(1, service, zone, 5, start + 10s).complete);
    EXPECT_LT(t.share(1, service, zone, 5, start + 10s).fraction, 1);
    t.expire(start + 61s);
    EXPECT_EQ(t.share(1, service, zone, 5, start + 61s), (limit_share{1, true, 1}));
}

TEST(demand_table, part_of_a_peer_that_has_stopped_is_free_soon) {
    auto t = fleet{{1, 1}, 1, false}.tables[0];
    t.observe_peer(base::vm_id{vm_name(1)}, zone, {}, true, start);
    t.expire(start + 2s);
    EXPECT_EQ(t.share(1, service, zone, 5, start + 2s).daemons, 1U);
}

// Failure: a daemon is started within a partition. Guards against using the whole limit because it has heard
// of no other daemon.
TEST(demand_table, daemon_that_has_not_heard_of_registered_ones_does_not_count_on_their_parts) {
    demand_table t{base::vm_id{"new"}, zone, start};
    t.set_parameters({.known_daemons = 6});
    const auto s = t.share(1, service, zone, 10, start + 5s);
    EXPECT_FALSE(s.complete);
    EXPECT_EQ(s.daemons, 6U);
    EXPECT_TRUE(t.share(1, service, zone, 10, start + 61s).complete);
}

// Failure: parts of a fleet hear nothing of each other for minutes. Guards against a daemon in each part that
// takes itself for the first one, and against a daemon that has ended as planned and keeps its place.
TEST(demand_table, silent_daemons_keep_their_places) {
    demand_table t{base::vm_id{"a"}, base::zone_id{"z"}, base::time_point{1000s} - 1h};
    const base::time_point now{1000s};
    for (const auto* vm : {"b", "c", "d", "e"}) {
        t.observe_peer(base::vm_id{vm}, base::zone_id{"z"}, {}, false, now);
    }
    const auto place = t.place(7, base::zone_id{"z"}, now);
    t.expire(now + 9min);
    EXPECT_EQ(t.place(7, base::zone_id{"z"}, now + 9min).rank, place.rank);
    EXPECT_EQ(t.place(7, base::zone_id{"z"}, now + 9min).daemons, 5U);
    for (const auto* vm : {"b", "c", "d", "e"}) {
        t.observe_peer(base::vm_id{vm}, base::zone_id{"z"}, {}, true, now + 9min);
    }
    t.expire(now + 10min);
    EXPECT_EQ(t.place(7, base::zone_id{"z"}, now + 10min).rank, 0U);
}

// Failure: daemons start while they hear nothing of the others. Guards against daemons of each zone that send
// to the same server, and against a new daemon that counts only those that it has heard of.
TEST(demand_table, daemon_that_has_just_started_comes_last) {
    const base::time_point now{1000s};
    demand_table t{base::vm_id{"a"}, base::zone_id{"z"}, now};
    t.set_parameters({.within_zones = true, .known_daemons = 21});
    EXPECT_EQ(t.place(7, base::zone_id{"z"}, now + 30s).rank, 20U);
    EXPECT_FALSE(t.place(7, base::zone_id{"other"}, now + 30s).rank);
    // Failure: the settings name daemons that ended long ago. Guards against cold servers that nobody uses.
    t.set_parameters({.known_daemons = 21, .registered_daemons = 1});
    EXPECT_EQ(t.place(7, base::zone_id{"z"}, now + 30s).rank, 0U);
    t.set_parameters({.within_zones = true, .known_daemons = 21});
    EXPECT_EQ(t.place(7, base::zone_id{"other"}, now + 61s).rank, 0U) << "the only zone that has daemons";
    t.observe_peer(base::vm_id{"o"}, base::zone_id{"other"}, {}, false, now + 61s);
    EXPECT_FALSE(t.place(7, base::zone_id{"other"}, now + 8min).rank);
}

}  // namespace
}  // namespace chicorygap::backpressure
