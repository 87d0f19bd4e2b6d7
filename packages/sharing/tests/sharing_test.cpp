#include "sharing/beacon.h"
#include "sharing/peer_table.h"

#include <gtest/gtest.h>

#include <limits>

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
    b.store_era = 2;
    b.servers_revision = 77;
    b.servers_final_revision = 79;
    b.evacuations = {2, 81};
    b.stopping = true;
    b.lease_term = 3;
    auto& load = b.services[base::service_id{"s"}];
    load.waiting = 5;
    load.token_gaps_exceeded = true;
    load.short_prompt_streams = 6;
    load.prefill_tokens_per_ms = 81.5F;
    load.servers = {{base::backend_server_id{"i-1"}, 4, 30'000, 900, 12'000, true}};
    b.processor_share = 0.25F;
    b.link_mbits = 10;
    b.zone_services[base::service_id{"s"}].servers = {{base::backend_server_id{"i-2"}, 9, 1, 2, 3}};
    b.zone_daemons = 60;
    b.zone_lease_term = 4;
    b.zone_lease_address = {"10.0.0.9", 7200};
    b.store_unreachable = true;
    b.contacts = {{"10.0.0.7", 7200}, {"10.0.0.8", 7200}};
    b.largest_fleet = 12;
    b.largest_fleet_age = 90s;
    b.crashes.crashes = {{.part = 0xdead,
                          .server = 77,
                          .instance = 78,
                          .depth = 2,
                          .progress = crash_guard::attempt_progress::beginning,
                          .length = 120ms,
                          .confirmed = false,
                          .age = 1500ms}};
    b.crashes.ends = {{78, 1500ms}, {79, 9s}};
    b.crashes.successes = {{0xbeef, 20ms}};
    b.crashes.verdicts = {{0xdead, 3, true, 7s, 60s}};
    b.signals.limits = {{0xfeed, 12, 2.5, 1, 300ms}};
    b.signals.leaving = {0xabcd};
    b.signals.demands = {{base::service_id{"s"}, 4.5}};
    b.windows[metering::window_number{12}] = {{base::workspace_id{"north"}, 8}};
    b.stored_windows[metering::window_number{11}] = {{base::workspace_id{"south"}, 5}};
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

// Failure: a datagram whose share or speed is no amount is believed. Daemons are ranked by these values, and
// an order with a value that compares to none differs from daemon to daemon.
TEST(beacon, values_that_are_no_amounts_are_rejected) {
    for (const float bad :
         {std::numeric_limits<float>::quiet_NaN(), std::numeric_limits<float>::infinity(), -1.0F}) {
        auto share = make_beacon("1");
        share.processor_share = bad;
        auto link = make_beacon("1");
        link.link_mbits = bad;
        auto load = make_beacon("1");
        load.services[base::service_id{"s"}].prefill_tokens_per_ms = bad;
        auto zone_load = make_beacon("1");
        zone_load.zone_services[base::service_id{"s"}].prefill_tokens_per_ms = bad;
        for (const auto& b : {share, link, load, zone_load}) {
            EXPECT_EQ(decode(encode(b)), std::nullopt) << bad;
        }
    }
}

// Load: news are sent often while servers change their limits. Guards against a zone that seems idle because
// the last beacon of a peer told news only.
TEST(peer_table, loads_are_kept_when_a_beacon_tells_none) {
    peer_table t{base::vm_id{"0"}};
    auto b = make_beacon("1", 5, 1);
    b.services[base::service_id{"s"}].waiting = 3;
    t.observe(b, wall, start);
    t.observe(make_beacon("1", 5, 2), wall, start + 100ms);
    auto self = make_beacon("0");
    EXPECT_EQ(t.zone_loads(self, start + 100ms)[base::service_id{"s"}].waiting, 3U);
    t.observe(make_beacon("1", 6, 1), wall, start + 200ms);
    EXPECT_TRUE(t.zone_loads(self, start + 200ms).empty()) << "a new process has no loads";
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
    EXPECT_EQ(t.lease_holder(start), std::nullopt);
    auto b = make_beacon("1");
    b.lease_term = 4;
    t.observe(b, wall, start);
    ASSERT_NE(t.lease_holder(start), std::nullopt);
    EXPECT_EQ(t.lease_holder(start + 5s), std::nullopt);
}

/// Table of the daemon "z-001" of zone z, and the daemons of a fleet of 295 in five zones that it may learn
/// of.
struct large_fleet_test : testing::Test {
    static constexpr int zone_size = 59;
    peer_table table{base::vm_id{"z-001"}};
    std::vector<registered_daemon> registered;

    static std::string name(const std::string& zone, int i) {
        auto n = std::to_string(i);
        return zone + '-' + std::string(3 - n.size(), '0') + n;
    }
    static net::address address_of(const std::string& vm) {
        return {
            "10." + std::to_string(static_cast<int>(vm[0])) + ".0." + std::to_string(std::stoi(vm.substr(2))),
            7200};
    }
    static beacon beacon_of(const std::string& vm, std::uint64_t sequence = 1) {
        beacon b = make_beacon(vm, 1, sequence);
        b.zone = base::zone_id{vm.substr(0, 1)};
        b.peer_address = address_of(vm);
        b.processor_share = vm.substr(2) < "003" ? 0.5F : 0.12F;
        return b;
    }
    static beacon digest_of(const std::string& vm, std::uint64_t sequence = 1) {
        auto b = beacon_of(vm, sequence);
        b.zone_daemons = zone_size;
        return b;
    }

    void SetUp() override {
        for (const auto* zone : {"v", "w", "x", "y", "z"}) {
            for (int i = 1; i <= zone_size; ++i) {
                const auto b = beacon_of(name(zone, i));
                registered.push_back({b.vm, b.peer_address, b.zone, b.processor_share});
            }
        }
        table.add_registered(registered, base::zone_id{"z"});
    }
};

// Load: 295 daemons, of which only 59 in this zone know this one. Guards against beacons from every daemon to
// every daemon of the other zones, which made most of the traffic between zones.
TEST_F(large_fleet_test, regular_beacons_stay_in_the_zone) {
    EXPECT_TRUE(uses_zone_digests(table.fleet_size(base::zone_id{"z"}, start)));
    EXPECT_EQ(table.addresses_in_zone(base::zone_id{"z"}).size(), zone_size - 1U);
    EXPECT_TRUE(table.addresses_outside_zone(base::zone_id{"z"}).empty());
    EXPECT_TRUE(table.unlocated_addresses().empty());
}

TEST_F(large_fleet_test, digests_go_to_two_daemons_of_each_other_zone) {
    const auto initial = table.representatives_outside_zone(base::zone_id{"z"}, start);
    ASSERT_EQ(initial.size(), 8U);
    EXPECT_EQ(initial[0], address_of("v-001"));
    EXPECT_EQ(initial[1], address_of("v-002"));
    // Both representatives of zone v are lost, and two other daemons of the zone take over.
    table.observe(digest_of("v-007"), wall, start);
    table.observe(digest_of("v-008"), wall, start);
    const auto later = table.representatives_outside_zone(base::zone_id{"z"}, start);
    ASSERT_EQ(later.size(), 8U);
    EXPECT_EQ(later[0], address_of("v-007"));
    EXPECT_EQ(later[1], address_of("v-008"));
}

// Guards against retry budgets that are divided by the known daemons only, and usage windows that do not wait
// for the others.
TEST_F(large_fleet_test, live_daemons_of_other_zones_are_counted_from_digests) {
    for (int i = 2; i <= zone_size; ++i) {
        table.observe(beacon_of(name("z", i)), wall, start);
    }
    for (const auto* zone : {"v", "w", "x", "y"}) {
        table.observe(digest_of(name(zone, 1)), wall, start);
        table.observe(digest_of(name(zone, 2)), wall, start);
    }
    EXPECT_EQ(table.live_count(start), 295U);
    // The counts that a representative sends to the lease holder are no digest and change nothing.
    table.observe(beacon_of("v-001", 2), wall, start);
    EXPECT_EQ(table.live_count(start), 295U);
    EXPECT_EQ(table.live_count(start + 30s), 1U);
}

// Guards against daemons of all zones that compete for the lease although another zone has a holder, and
// against representatives that keep a lost holder alive by repeating each other.
TEST_F(large_fleet_test, lease_holder_of_another_zone_is_known_from_digests) {
    auto d = digest_of("v-001");
    d.zone_lease_term = 9;
    d.zone_lease_address = address_of("v-020");
    table.observe(d, wall, start);
    EXPECT_EQ(table.lease_holder(start), (lease_location{9, base::zone_id{"v"}, address_of("v-020")}));
    EXPECT_EQ(table.lease_holder(start + 6s), std::nullopt);

    auto own_zone_digest = digest_of("z-002");
    own_zone_digest.zone_lease_term = 10;
    own_zone_digest.zone_lease_address = address_of("z-030");
    table.observe(own_zone_digest, wall, start);
    auto self = beacon_of("z-001");
    table.add_zone_summary(self, start);
    EXPECT_EQ(self.zone_lease_term, 0U) << "only a beacon of the holder itself counts";
    auto holder = beacon_of("z-030");
    holder.lease_term = 10;
    table.observe(holder, wall, start);
    table.add_zone_summary(self, start);
    EXPECT_EQ(self.zone_lease_term, 10U);
    EXPECT_EQ(self.zone_lease_address, address_of("z-030"));
}

// Failure: the store turns the mirrors of a zone away. Guards against every daemon of the zone calling the
// store.
TEST_F(large_fleet_test, daemons_that_cannot_reach_the_store_are_no_mirrors) {
    for (int i = 2; i <= 5; ++i) {
        auto b = beacon_of(name("z", i));
        b.store_unreachable = i == 2;
        table.observe(b, wall, start);
    }
    auto self = beacon_of("z-001");
    const auto mirrors = table.store_mirrors(self, 2, start);
    ASSERT_EQ(mirrors.size(), 2U);
    EXPECT_EQ(mirrors[0].vm.str(), "z-001");
    EXPECT_EQ(mirrors[1].vm.str(), "z-003");
    self.store_unreachable = true;
    EXPECT_EQ(table.store_mirrors(self, 2, start)[0].vm.str(), "z-003");
}

// A small fleet is a full mesh, also while some registrations name no zone.
TEST(peer_table, small_fleet_sends_beacons_to_all_registered_daemons) {
    peer_table t{base::vm_id{"0"}};
    t.add_registered({{base::vm_id{"1"}, {"10.0.0.1", 7200}, base::zone_id{"y"}, 0.25F},
                      {base::vm_id{"2"}, {"10.0.0.2", 7200}, {}, 0}},
                     base::zone_id{"z"});
    EXPECT_EQ(t.addresses().size(), 2U);
    EXPECT_EQ(t.addresses_outside_zone(base::zone_id{"z"}).size(), 2U);
}

}  // namespace
}  // namespace chicorygap::sharing
