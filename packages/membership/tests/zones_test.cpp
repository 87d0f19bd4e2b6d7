#include "simulated_network.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <iostream>
#include <set>

namespace chicorygap::membership {
namespace {

using namespace testing;

// Guards against a partitioned zone that is not detected, is removed from the fleet size, or stays
// unreachable after a partition of an hour.
TEST(zones, partition_is_detected_and_recovers) {
    simulated_network net{1};
    for (const auto* zone : {"a", "b", "c"}) {
        net.add_zone(zone, 3);
    }
    net.run(30s);
    for (const auto& [address, n] : net.nodes) {
        EXPECT_EQ(n.protocol.reachable_zones(net.now).size(), 2U) << address;
        EXPECT_EQ(n.protocol.fleet_size(), 9U) << address;
    }
    net.link_blocked = [](const auto& x, const auto& y) { return (x[0] == 'c') != (y[0] == 'c'); };
    net.run(30s);
    const auto& inside = net.nodes.at("c:1").protocol;
    EXPECT_TRUE(inside.reachable_zones(net.now).empty());
    EXPECT_EQ(inside.live_members().size(), 3U);
    EXPECT_EQ(inside.fleet_size(), 9U) << "limits are divided over all daemons known before the partition";
    EXPECT_EQ(net.nodes.at("a:0").protocol.reachable_zones(net.now), std::vector{base::zone_id{"b"}});
    net.run(1h);
    net.link_blocked = [](const auto&, const auto&) { return false; };
    net.run(20s);
    for (const auto& [address, n] : net.nodes) {
        EXPECT_EQ(n.protocol.reachable_zones(net.now).size(), 2U) << address;
    }
}

// Guards against a view of remote zones that grows with their size, and against contacts that are
// concentrated on few daemons.
TEST(zones, contacts_are_three_per_zone_and_distributed) {
    simulated_network net{2};
    net.add_zone("a", 12);
    net.add_zone("b", 12);
    net.run(90s);
    std::set<std::string> used;
    for (const auto& [address, n] : net.nodes) {
        EXPECT_EQ(n.protocol.contacts().size(), 3U);
        for (const auto& c : n.protocol.contacts()) {
            EXPECT_NE(c.zone, n.protocol.self().zone);
            used.insert(c.address);
        }
    }
    EXPECT_GE(used.size(), 12U) << "of 24 daemons";
}

// Guards against one daemon that admits a lower tier while another rejects a higher one, and against a tier
// that stays in effect after the reporting daemon has raised it.
TEST(zones, lowest_admitted_tier_propagates_and_expires) {
    simulated_network net{3};
    net.add_zone("a", 7);
    const base::service_id service{"s"};
    const auto set = [&](const std::string& address, std::uint8_t level) {
        net.handle_event(address, local_state{.services = {{service, 1, level}}});
    };
    for (const auto& [address, n] : net.nodes) {
        set(address, 4);
    }
    net.run(20s);
    set("a:6", 1);
    const auto all_have = [&](std::uint8_t level) {
        return std::ranges::all_of(net.nodes, [&](const auto& pair) {
            return pair.second.protocol.lowest_admitted_tier(service, net.now) == level;
        });
    };
    EXPECT_LE(net.run_until([&] { return all_have(1); }, 20s), 3s);
    net.run(10s);
    EXPECT_TRUE(all_have(1));
    set("a:6", 4);
    EXPECT_LE(net.run_until([&] { return all_have(4); }, 20s), 6s);
}

// Guards against load reports that are truncated, or not replaced when the peer is idle again.
TEST(zones, load_reports_reach_all_members_of_the_zone) {
    simulated_network net{4};
    net.add_zone("a", 4);
    std::vector<server_load> loads;
    for (std::uint16_t i = 0; i < 40; i++) {
        loads.push_back({server_hash(base::backend_server_id{"s" + std::to_string(i)}), i});
    }
    net.handle_event("a:1", local_state{.loads = loads});
    net.run(20s);
    EXPECT_EQ(net.nodes.at("a:3").loads["vm-a:1"], loads);
    net.handle_event("a:1", local_state{});
    net.run(10s);
    EXPECT_TRUE(net.nodes.at("a:3").loads["vm-a:1"].empty());
}

// Guards against control-plane traffic that grows with the fleet. Bound: 10 KB/s per daemon for messages sent
// and received, with full load reports, four services and two remote zones; no message above 1,200 bytes.
TEST(zones, traffic_per_daemon_is_bounded_at_10_30_and_90_members) {
    for (const int size : {10, 30, 90}) {
        simulated_network net{5};
        net.add_zone("zone-a", size);
        net.add_zone("zone-b", size);
        net.add_zone("zone-c", 5);
        local_state state;
        for (std::uint64_t i = 0; i < max_reported_loads; i++) {
            state.loads.push_back({i, 3});
        }
        for (const auto* s : {"survey", "questions", "deposits", "crew"}) {
            state.services.push_back({base::service_id{s}, 7, 4});
        }
        for (const auto& [address, n] : net.nodes) {
            net.handle_event(address, state);
        }
        const auto join = net.run_until([&] { return net.views_complete("zone-a"); }, 60s);
        EXPECT_LT(join, 30s);
        net.run(15s);  // joining daemons probe faster
        for (auto& [address, n] : net.nodes) {
            n.sent_bytes = 0;
        }
        net.run(30s);
        std::size_t sum = 0;
        std::size_t most = 0;
        std::size_t largest = 0;
        for (const auto& [address, n] : net.nodes) {
            sum += n.sent_bytes;
            most = std::max(most, n.sent_bytes);
            largest = std::max(largest, n.largest_message_bytes);
        }
        const auto mean = sum / net.nodes.size() / 30;
        std::cout << size << " members: member lists complete after " << join / 1ms << " ms, sent per daemon "
                  << mean << " B/s (most " << most / 30 << "), largest message " << largest << " B\n";
        EXPECT_LE(largest, max_message_bytes);
        EXPECT_LE(2 * mean, 10000U) << "each message is sent once and received once";
        EXPECT_LE(most / 30, 10000U);
    }
}

// Guards against a message over the limit for any names and any amount of state.
RC_GTEST_PROP(zones, no_message_exceeds_the_limit, ()) {
    simulated_network net{*rc::gen::arbitrary<std::uint64_t>()};
    const auto suffix = std::string(*rc::gen::inRange<std::size_t>(0, 40), 'x');
    net.add_zone("a" + suffix, *rc::gen::inRange(2, 8));
    net.add_zone("b" + suffix, 2);
    local_state state;
    state.loads.resize(*rc::gen::inRange<std::size_t>(0, 200));
    for (int i = 0; i < *rc::gen::inRange(0, 10); i++) {
        state.services.push_back({base::service_id{suffix + std::to_string(i)}, 1, 4});
    }
    for (const auto& [address, n] : net.nodes) {
        net.handle_event(address, state);
    }
    net.run(10s);
    for (const auto& [address, n] : net.nodes) {
        RC_ASSERT(n.largest_message_bytes <= max_message_bytes);
    }
}

}  // namespace
}  // namespace chicorygap::membership
