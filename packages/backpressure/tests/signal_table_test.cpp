#include "backpressure/signal_table.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace chicorygap::backpressure {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{1000s};
/// Limits that one message may carry beside the loads of the servers.
constexpr std::size_t most_reported = 24;

catalog::backend_server make_server(int i) {
    catalog::backend_server s;
    s.id = base::backend_server_id{"server" + std::to_string(i)};
    s.service = base::service_id{"s"};
    s.zone = base::zone_id{"z"};
    return s;
}

struct signal_table_test : testing::Test {
    signal_table table{base::vm_id{"a"}, base::zone_id{"z"}, start - 1h};

    void name_limits(int count) {
        std::vector<catalog::backend_server> list;
        list.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            list.push_back(make_server(i));
        }
        table.set_servers(list, start);
        for (const auto& s : list) {
            table.observe(s, {.rate_limit = 2}, start, start);
        }
    }
};

// Failure: 84 servers name limits at once in a fleet of 62 daemons; messages with all of them are so large
// that peers lose sight of each other, and usage counts of half of the requests are lost.
TEST_F(signal_table_test, limits_of_many_servers_are_reported_in_turn) {
    name_limits(100);
    std::map<server_key, int> reported;
    for (int i = 0; i < 5; ++i) {
        const auto r = table.report(audience::peers, start + i * 100ms);
        EXPECT_LE(r.limits.size(), most_reported);
        for (const auto& l : r.limits) {
            ++reported[l.server];
        }
    }
    EXPECT_EQ(reported.size(), 100U);
}

// Guards against a change that waits until all other limits were reported again.
TEST_F(signal_table_test, changed_limit_is_reported_first) {
    name_limits(100);
    for (int i = 0; i < 7; ++i) {
        EXPECT_FALSE(table.report(audience::peers, start + i * 100ms).empty());
    }
    table.observe(make_server(70), {.rate_limit = 9}, start + 1s, start + 1s);
    const auto r = table.report(audience::peers, start + 1s);
    ASSERT_FALSE(r.limits.empty());
    EXPECT_EQ(r.limits.front().server, key_of(make_server(70)));
    EXPECT_EQ(r.limits.front().rate, 9);
}

// Load: daemons with thin links pass the reports of other zones on to their zone. Guards against filling
// these links with what is known already.
TEST_F(signal_table_test, other_zones_are_told_changes_and_few_repetitions) {
    name_limits(40);
    std::size_t told = 0;
    while (table.has_unreported_changes(audience::other_zones)) {
        ASSERT_LT(told, 100U);
        told += table.report(audience::other_zones, start).limits.size();
    }
    EXPECT_GE(told, 40U);
    EXPECT_TRUE(table.has_unreported_changes(audience::peers)) << "peers were told nothing by this";
    for (int i = 0; i < 3; ++i) {
        EXPECT_FALSE(table.report(audience::other_zones, start).limits.empty());
    }
    const auto r = table.report(audience::other_zones, start);
    EXPECT_LE(r.limits.size(), 4U);
    EXPECT_TRUE(r.demands.empty());
}

TEST_F(signal_table_test, without_signals_nothing_is_reported) {
    name_limits(0);
    table.observe(make_server(1), {}, start, start);
    table.record_arrival(base::service_id{"s"}, start);
    EXPECT_TRUE(table.report(audience::peers, start).empty());
}

// Guards against state that grows with each server that ever had a signal.
TEST_F(signal_table_test, signals_of_servers_that_have_left_are_forgotten) {
    name_limits(10);
    table.set_servers({}, start);
    EXPECT_TRUE(table.status(start).empty());
    table.expire(start + 1min);
    EXPECT_TRUE(table.report(audience::peers, start + 1min).empty());
}

TEST_F(signal_table_test, signal_that_a_peer_told_before_the_list_is_kept) {
    signal_table peer{base::vm_id{"b"}, base::zone_id{"z"}, start - 1h};
    peer.set_servers({make_server(1)}, start);
    peer.observe(make_server(1), {.rate_limit = 2, .leaving = true}, start, start);
    table.merge(base::vm_id{"b"}, base::zone_id{"z"}, peer.report(audience::peers, start), false, start);
    table.set_servers({make_server(1)}, start + 100ms);
    EXPECT_EQ(table.limit(key_of(make_server(1))), 2);
    EXPECT_TRUE(table.leaving(key_of(make_server(1))));
    EXPECT_FALSE(table.may_start(key_of(make_server(1)), start + 100ms));
}

// The wait binds the daemon that was told, not its peers.
TEST_F(signal_table_test, wait_of_a_server_is_not_reported) {
    name_limits(0);
    table.set_servers({make_server(1)}, start);
    table.observe(make_server(1), {.retry_after = 3s}, start, start);
    EXPECT_TRUE(table.report(audience::peers, start).empty());
    EXPECT_FALSE(table.may_start(key_of(make_server(1)), start + 2999ms));
    EXPECT_TRUE(table.may_start(key_of(make_server(1)), start + 3s));
}

// Guards against a shorter wait that replaces a longer one.
TEST_F(signal_table_test, longest_wait_counts) {
    table.set_servers({make_server(1)}, start);
    table.observe(make_server(1), {.retry_after = 3s}, start, start);
    table.observe(make_server(1), {.retry_after = 0s}, start, start + 1s);
    EXPECT_FALSE(table.may_start(key_of(make_server(1)), start + 2s));
}

}  // namespace
}  // namespace chicorygap::backpressure
