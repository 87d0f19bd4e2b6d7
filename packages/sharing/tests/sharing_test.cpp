#include "sharing/beacon.h"
#include "sharing/peer_table.h"

#include <gtest/gtest.h>

namespace chicorygap::sharing {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{50s};
constexpr base::wall_time wall{1'000'000ms};

beacon from(const std::string& vm, std::uint64_t incarnation = 1, std::uint64_t sequence = 1) {
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

TEST(beacon, survives_its_encoding) {
    auto b = from("1", 7, 9);
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

TEST(beacon, bytes_that_are_none_are_refused) {
    EXPECT_EQ(decode(""), std::nullopt);
    EXPECT_EQ(decode("hello, this is no beacon at all"), std::nullopt);
    const auto bytes = encode(from("1"));
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        decode(bytes.substr(0, n));  // must not fail otherwise than by refusing
    }
}

TEST(peer_table, older_messages_are_dropped) {
    peer_table t{base::vm_id{"0"}};
    EXPECT_TRUE(t.observe(from("1", 5, 2), wall, start));
    EXPECT_FALSE(t.observe(from("1", 5, 1), wall, start));
    EXPECT_FALSE(t.observe(from("1", 4, 9), wall, start));
    EXPECT_TRUE(t.observe(from("1", 6, 1), wall, start));
    EXPECT_FALSE(t.observe(from("0"), wall, start));
    EXPECT_EQ(t.live_count(start), 2U);
}

// Guards against a daemon that stays unheard because its clock was behind when it started again.
TEST(peer_table, smaller_incarnation_counts_once_the_earlier_one_is_silent) {
    peer_table t{base::vm_id{"0"}};
    t.observe(from("1", 5, 2), wall, start);
    EXPECT_TRUE(t.observe(from("1", 4, 1), wall, start + 10s));
}

TEST(peer_table, silent_daemons_are_taken_for_dead_but_still_sent_to) {
    peer_table t{base::vm_id{"0"}};
    t.observe(from("1"), wall, start);
    EXPECT_EQ(t.live_count(start + 1s), 2U);
    EXPECT_EQ(t.live_count(start + 3s), 1U);
    EXPECT_EQ(t.addresses().size(), 1U);
    t.expire(start + 61s);
    EXPECT_TRUE(t.addresses().empty());
}

// Guards against a single clock that jumps deciding which window a request belongs to.
TEST(peer_table, agreed_time_is_that_of_the_majority) {
    peer_table t{base::vm_id{"0"}};
    for (const auto* vm : {"1", "2", "3", "4"}) {
        t.observe(from(vm), wall, start);
    }
    auto wrong = from("5");
    wrong.wall_time = wall + 1h;
    t.observe(wrong, wall, start);
    EXPECT_EQ(t.median_wall_time(wall, start), wall);
    // The own clock jumps: all others are behind it now.
    for (const auto* vm : {"1", "2", "3", "4"}) {
        auto b = from(vm, 1, 2);
        t.observe(b, wall + 10min, start);
    }
    EXPECT_EQ(t.median_wall_time(wall + 10min, start), wall);
}

// Guards against messages that grow with the square of the fleet.
TEST(peer_table, rate_for_each_peer_falls_with_the_size_of_the_fleet) {
    EXPECT_EQ(beacon_interval(2), 150ms);
    EXPECT_EQ(beacon_interval(60), 900ms);
    EXPECT_EQ(beacon_interval(1700), 2s);
    EXPECT_GT(peer_timeout(60), 4 * beacon_interval(60));
}

// Guards against a zone that nobody speaks for, or several daemons do: all agree on who has the most of a
// core.
TEST(peer_table, largest_vm_of_a_zone_comes_first) {
    const auto small = [](const std::string& vm) {
        auto b = from(vm);
        b.processor_share = 0.12F;
        return b;
    };
    auto large = from("5");
    large.processor_share = 0.5F;
    peer_table t{base::vm_id{"2"}};
    t.observe(small("1"), wall, start);
    t.observe(large, wall, start);
    EXPECT_EQ(t.higher_ranked_in_zone(small("2"), start).size(), 2U);
    peer_table other{base::vm_id{"5"}};
    other.observe(small("1"), wall, start);
    other.observe(small("2"), wall, start);
    EXPECT_EQ(other.higher_ranked_in_zone(large, start).size(), 0U);
    // The large one is silent, or says that it stops.
    EXPECT_EQ(t.higher_ranked_in_zone(small("2"), start + 10s).size(), 0U);
    large.stopping = true;
    large.sequence = 2;
    t.observe(large, wall, start);
    EXPECT_EQ(t.higher_ranked_in_zone(small("2"), start).size(), 1U);
}

// Load: many daemons. Guards against loads that each of 62 daemons tells each other one: a zone tells its
// sum, and a queue that was seen a while ago counts less.
TEST(peer_table, loads_of_a_zone_are_summed) {
    const auto loaded = [](const std::string& vm, const std::string& server) {
        auto b = from(vm);
        auto& l = b.services[base::service_id{"s"}];
        l.waiting = 1;
        l.servers = {{base::backend_server_id{server}, 2, 100, 1000, 50}};
        return b;
    };
    peer_table t{base::vm_id{"0"}};
    t.observe(loaded("1", "i-2"), wall, start);
    t.observe(loaded("2", "i-1"), wall, start);
    auto elsewhere = loaded("3", "i-1");
    elsewhere.zone = base::zone_id{"y"};
    t.observe(elsewhere, wall, start);
    const auto sum = t.zone_loads(loaded("0", "i-1"), start).at(base::service_id{"s"});
    EXPECT_EQ(sum.waiting, 3U);
    ASSERT_EQ(sum.servers.size(), 2U);
    EXPECT_EQ(sum.servers[0], (scheduling::server_load{base::backend_server_id{"i-1"}, 4, 200, 2000, 100}));
    EXPECT_EQ(sum.servers[1], (scheduling::server_load{base::backend_server_id{"i-2"}, 2, 100, 1000, 50}));
    const auto later = t.zone_loads(loaded("0", "i-1"), start + 200ms).at(base::service_id{"s"});
    EXPECT_NEAR(static_cast<double>(later.servers[0].pending_prefill_tokens), 1000 + 368, 5);
}

TEST(peer_table, names_the_holder_of_the_lease) {
    peer_table t{base::vm_id{"0"}};
    EXPECT_EQ(t.lease_holder(start), nullptr);
    auto b = from("1");
    b.lease_term = 4;
    t.observe(b, wall, start);
    ASSERT_NE(t.lease_holder(start), nullptr);
    EXPECT_EQ(t.lease_holder(start + 5s), nullptr);
}

}  // namespace
}  // namespace chicorygap::sharing
