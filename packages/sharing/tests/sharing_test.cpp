#include "sharing/beacon.h"
#include "sharing/peer_table.h"

#include <gtest/gtest.h>

namespace chicorygap::sharing {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{50s};
constexpr base::wall_time wall{1'000'000ms};

beacon make_beacon(const std::string& vm, std::uint64_t incarnation = 1, std::uint64_t sequence = 1) {
    beacon b;
    b.vm = base::vm_id{vm};
    b.zone = base::zone_id{"z"};
    b.incarnation = incarnation;
    b.sequence = sequence;
    b.peer_address = {"10.0.0." + vm, 7200};
    b.operator_address = {"10.0.0." + vm, 7300};
    b.wall_time = wall;
    return b;
}

TEST(beacon, round_trips_through_encoding) {
    auto b = make_beacon("1", 7, 9);
    b.configuration_version = 41;
    b.servers_revision = 77;
    b.stopping = true;
    b.lease_term = 3;
    auto& load = b.services[base::service_id{"s"}];
    load.waiting = 5;
    load.token_gaps_exceeded = true;
    load.short_prompt_streams = 6;
    load.prefill_tokens_per_ms = 81.5F;
    load.servers = {{base::backend_server_id{"i-1"}, 4, 30'000, 900, 12'000, true}};
    b.processor_share = 0.25F;
    b.zone_services[base::service_id{"s"}].servers = {{base::backend_server_id{"i-2"}, 9, 1, 2, 3}};
    b.windows[metering::window_number{12}] = {{base::workspace_id{"north"}, 8}};
    EXPECT_EQ(decode(encode(b)), b);
}

TEST(beacon, malformed_bytes_are_rejected) {
    EXPECT_EQ(decode(""), std::nullopt);
    EXPECT_EQ(decode("hello, this is no beacon at all"), std::nullopt);
    const auto bytes = encode(make_beacon("1"));
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        decode(bytes.substr(0, n));  // must return without a crash or an exception
    }
}

TEST(peer_table, outdated_beacons_are_ignored) {
    peer_table t{base::vm_id{"0"}};
    EXPECT_TRUE(t.observe(make_beacon("1", 5, 2), wall, start));
    EXPECT_FALSE(t.observe(make_beacon("1", 5, 1), wall, start));
    EXPECT_FALSE(t.observe(make_beacon("1", 4, 9), wall, start));
    EXPECT_TRUE(t.observe(make_beacon("1", 6, 1), wall, start));
    EXPECT_FALSE(t.observe(make_beacon("0"), wall, start));
    EXPECT_EQ(t.live_count(start), 2U);
}

// Guards against ignoring a restarted daemon for good: its incarnation is smaller than the earlier one if its
// clock was set back before the restart.
TEST(peer_table, smaller_incarnation_is_accepted_once_the_earlier_one_has_timed_out) {
    peer_table t{base::vm_id{"0"}};
    t.observe(make_beacon("1", 5, 2), wall, start);
    EXPECT_TRUE(t.observe(make_beacon("1", 4, 1), wall, start + 10s));
}

TEST(peer_table, dead_peers_still_receive_beacons_until_they_expire) {
    peer_table t{base::vm_id{"0"}};
    t.observe(make_beacon("1"), wall, start);
    EXPECT_EQ(t.live_count(start + 1s), 2U);
    EXPECT_EQ(t.live_count(start + 3s), 1U);
    EXPECT_EQ(t.addresses().size(), 1U);
    t.expire(start + 61s);
    EXPECT_TRUE(t.addresses().empty());
}

// Guards against counting requests in the wrong usage window because the clock of one VM jumped.
TEST(peer_table, median_wall_time_ignores_a_single_wrong_clock) {
    peer_table t{base::vm_id{"0"}};
    for (const auto* vm : {"1", "2", "3", "4"}) {
        t.observe(make_beacon(vm), wall, start);
    }
    auto wrong_clock = make_beacon("5");
    wrong_clock.wall_time = wall + 1h;
    t.observe(wrong_clock, wall, start);
    EXPECT_EQ(t.median_wall_time(wall, start), wall);
    // The local clock jumps ahead of all others.
    for (const auto* vm : {"1", "2", "3", "4"}) {
        auto b = make_beacon(vm, 1, 2);
        t.observe(b, wall + 10min, start);
    }
    EXPECT_EQ(t.median_wall_time(wall + 10min, start), wall);
}

// Guards against a message rate that grows with the square of the fleet size.
TEST(peer_table, beacon_interval_grows_with_the_fleet) {
    EXPECT_EQ(beacon_interval(2), 150ms);
    EXPECT_EQ(beacon_interval(60), 900ms);
    EXPECT_EQ(beacon_interval(1700), 2s);
    EXPECT_GT(peer_timeout(60), 4 * beacon_interval(60));
}

// Guards against a zone without a representative or with several: all daemons must rank the largest CPU share
// first.
TEST(peer_table, vm_with_the_largest_cpu_share_ranks_first_in_its_zone) {
    const auto small = [](const std::string& vm) {
        auto b = make_beacon(vm);
        b.processor_share = 0.12F;
        return b;
    };
    auto large = make_beacon("5");
    large.processor_share = 0.5F;
    peer_table t{base::vm_id{"2"}};
    t.observe(small("1"), wall, start);
    t.observe(large, wall, start);
    EXPECT_EQ(t.higher_ranked_in_zone(small("2"), start).size(), 2U);
    peer_table other{base::vm_id{"5"}};
    other.observe(small("1"), wall, start);
    other.observe(small("2"), wall, start);
    EXPECT_EQ(other.higher_ranked_in_zone(large, start).size(), 0U);
    // The large VM times out, or reports that it is shutting down.
    EXPECT_EQ(t.higher_ranked_in_zone(small("2"), start + 10s).size(), 0U);
    large.stopping = true;
    large.sequence = 2;
    t.observe(large, wall, start);
    EXPECT_EQ(t.higher_ranked_in_zone(small("2"), start).size(), 1U);
}

// Guards against a full mesh of load reports in a fleet of 62 daemons: each zone sends one sum, in
// which older queue lengths are weighted less.
TEST(peer_table, zone_loads_are_summed_and_older_queues_weighted_less) {
    const auto loaded = [](const std::string& vm, const std::string& server) {
        auto b = make_beacon(vm);
        auto& l = b.services[base::service_id{"s"}];
        l.waiting = 1;
        l.servers = {{base::backend_server_id{server}, 2, 100, 1000, 50}};
        return b;
    };
    peer_table t{base::vm_id{"0"}};
    t.observe(loaded("1", "i-2"), wall, start);
    t.observe(loaded("2", "i-1"), wall, start);
    auto other_zone = loaded("3", "i-1");
    other_zone.zone = base::zone_id{"y"};
    t.observe(other_zone, wall, start);
    const auto sum = t.zone_loads(loaded("0", "i-1"), start).at(base::service_id{"s"});
    EXPECT_EQ(sum.waiting, 3U);
    ASSERT_EQ(sum.servers.size(), 2U);
    EXPECT_EQ(sum.servers[0], (scheduling::server_load{base::backend_server_id{"i-1"}, 4, 200, 2000, 100}));
    EXPECT_EQ(sum.servers[1], (scheduling::server_load{base::backend_server_id{"i-2"}, 2, 100, 1000, 50}));
    const auto later = t.zone_loads(loaded("0", "i-1"), start + 200ms).at(base::service_id{"s"});
    EXPECT_NEAR(static_cast<double>(later.servers[0].pending_prefill_tokens), 1000 + 368, 5);
}

TEST(peer_table, lease_holder_is_found_until_it_times_out) {
    peer_table t{base::vm_id{"0"}};
    EXPECT_EQ(t.lease_holder(start), nullptr);
    auto b = make_beacon("1");
    b.lease_term = 4;
    t.observe(b, wall, start);
    ASSERT_NE(t.lease_holder(start), nullptr);
    EXPECT_EQ(t.lease_holder(start + 5s), nullptr);
}

}  // namespace
}  // namespace chicorygap::sharing
