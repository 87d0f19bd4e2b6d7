#include "scaling/capacity_planner.h"

#include <gtest/gtest.h>

#include <string>

namespace chicorygap::scaling {
namespace {

using namespace std::chrono_literals;

const base::zone_id zone_a{"a"};
const base::zone_id zone_b{"b"};
const server_kind_id standard{"standard"};
const server_kind_id cheap{"cheap"};
const base::time_point t0{1000s};

offer make_offer(const server_kind_id& kind, const base::zone_id& zone, int available_servers = 1000) {
    const bool reclaimable = kind == cheap;
    return {
        kind, zone, 10, reclaimable ? 0.3 : 1.0, reclaimable, reclaimable ? 0.05 : 0.0, available_servers};
}

policy make_policy() {
    policy p;
    p.target_utilization = 0.5;
    p.tolerate_zone_failure = false;
    p.max_reclaimable_share = 0.5;
    return p;
}

std::vector<server> servers_in(const base::zone_id& zone, const server_kind_id& kind, int count,
                               int running_requests = 1) {
    std::vector<server> out;
    out.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        out.push_back({base::backend_server_id{kind.str() + std::to_string(i)}, kind, zone,
                       server_state::active, running_requests});
    }
    return out;
}

int requested_servers(const std::vector<action>& actions, const server_kind_id& kind,
                      const base::zone_id& zone) {
    int n = 0;
    for (const auto& a : actions) {
        const auto* r = std::get_if<request_servers>(&a);
        n += r != nullptr && r->kind == kind && r->zone == zone ? r->count : 0;
    }
    return n;
}

template <typename T>
std::vector<std::string> server_ids(const std::vector<action>& actions) {
    std::vector<std::string> out;
    for (const auto& a : actions) {
        if (const auto* v = std::get_if<T>(&a)) {
            out.push_back(v->id.str());
        }
    }
    return out;
}

capacity_planner make_planner(const policy& p, const std::vector<offer>& offers) {
    capacity_planner out{p};
    out.handle(offers_changed{offers}, t0);
    return out;
}

// Guards against placing urgent or non-idempotent requests on reclaimable servers.
TEST(capacity_planner, reserved_demand_uses_only_reserved_servers) {
    auto p = make_planner(make_policy(), {make_offer(standard, zone_a), make_offer(cheap, zone_a)});
    p.handle(demand_measured{{{zone_a, 10, 20}}}, t0);
    const auto actions = p.handle(tick{}, t0);
    // 10 / 0.5 reserved slots and half of the 20 / 0.5 flexible slots, with 10 slots per server.
    EXPECT_EQ(requested_servers(actions, standard, zone_a), 4);
    EXPECT_EQ(requested_servers(actions, cheap, zone_a), 2);
}

// Guards against requesting servers whose low price is outweighed by the server time that reclaims waste.
TEST(capacity_planner, frequent_reclaims_raise_the_effective_price) {
    auto often_reclaimed = make_offer(cheap, zone_a);
    often_reclaimed.reclaims_per_hour = 14;
    auto p = make_planner(make_policy(), {make_offer(standard, zone_a), often_reclaimed});
    p.handle(demand_measured{{{zone_a, 0, 20}}}, t0);
    EXPECT_EQ(requested_servers(p.handle(tick{}, t0), cheap, zone_a), 0);
}

// Guards against requesting reclaimable servers in a zone whose servers are being reclaimed.
TEST(capacity_planner, reclaim_suspends_requests_for_reclaimable_servers_in_its_zone) {
    auto p = make_planner(make_policy(), {make_offer(standard, zone_a), make_offer(cheap, zone_a)});
    p.handle(demand_measured{{{zone_a, 0, 20}}}, t0);
    p.handle(server_reclaimed{zone_a}, t0);
    EXPECT_EQ(requested_servers(p.handle(tick{}, t0 + 1min), cheap, zone_a), 0);
    EXPECT_EQ(requested_servers(p.handle(tick{}, t0 + 16min), cheap, zone_a), 2);
}

// Guards against requesting servers a second time while the first ones start.
TEST(capacity_planner, booting_servers_count_as_capacity) {
    auto p = make_planner(make_policy(), {make_offer(standard, zone_a)});
    p.handle(demand_measured{{{zone_a, 20, 0}}}, t0);
    auto servers = servers_in(zone_a, standard, 4);
    servers[3].state = server_state::booting;
    p.handle(servers_changed{servers}, t0);
    EXPECT_TRUE(p.handle(tick{}, t0).empty());
}

// Guards against releasing servers during a short drop in demand and requesting them again a minute later.
TEST(capacity_planner, servers_are_drained_only_after_the_scale_down_window) {
    auto p = make_planner(make_policy(), {make_offer(standard, zone_a)});
    p.handle(demand_measured{{{zone_a, 20, 0}}}, t0);
    p.handle(servers_changed{servers_in(zone_a, standard, 4)}, t0);
    p.handle(demand_measured{{{zone_a, 5, 0}}}, t0 + 1min);
    EXPECT_TRUE(p.handle(tick{}, t0 + 9min).empty());
    p.handle(demand_measured{{{zone_a, 5, 0}}}, t0 + 11min);
    EXPECT_EQ(server_ids<drain_server>(p.handle(tick{}, t0 + 11min)).size(), 1U);
}

// Guards against interrupting requests, and against paying for a server that has finished draining.
TEST(capacity_planner, draining_server_is_released_only_when_it_runs_no_requests) {
    auto p = make_planner(make_policy(), {make_offer(standard, zone_a)});
    p.handle(demand_measured{{{zone_a, 5, 0}}}, t0);
    auto servers = servers_in(zone_a, standard, 2);
    servers[0].state = server_state::draining;
    p.handle(servers_changed{servers}, t0);
    EXPECT_TRUE(server_ids<release_server>(p.handle(tick{}, t0)).empty());
    servers[0].running_requests = 0;
    p.handle(servers_changed{servers}, t0);
    EXPECT_EQ(server_ids<release_server>(p.handle(tick{}, t0)), std::vector<std::string>{"standard0"});
}

// Guards against requesting a new server while an existing one is draining.
TEST(capacity_planner, rising_demand_cancels_the_drain_of_a_server) {
    auto p = make_planner(make_policy(), {make_offer(standard, zone_a)});
    auto servers = servers_in(zone_a, standard, 2);
    servers[0].state = server_state::draining;
    p.handle(servers_changed{servers}, t0);
    p.handle(demand_measured{{{zone_a, 10, 0}}}, t0);
    const auto actions = p.handle(tick{}, t0);
    EXPECT_EQ(server_ids<cancel_drain>(actions), std::vector<std::string>{"standard0"});
    EXPECT_EQ(requested_servers(actions, standard, zone_a), 0);
}

// Guards against unmet demand when the platform cannot provide more servers in a zone.
TEST(capacity_planner, slots_that_a_zone_cannot_provide_are_requested_in_another_zone) {
    auto p = make_planner(make_policy(), {make_offer(standard, zone_a, 1), make_offer(standard, zone_b)});
    p.handle(demand_measured{{{zone_a, 20, 0}, {zone_b, 0, 0}}}, t0);
    const auto actions = p.handle(tick{}, t0);
    EXPECT_EQ(requested_servers(actions, standard, zone_a), 1);
    EXPECT_EQ(requested_servers(actions, standard, zone_b), 3);

    // Guards against requesting servers again, or draining the ones in the other zone, on the next tick.
    auto servers = servers_in(zone_a, standard, 1);
    for (const auto& s : servers_in(zone_b, standard, 3)) {
        servers.push_back(s);
    }
    p.handle(offers_changed{{make_offer(standard, zone_a, 0), make_offer(standard, zone_b)}}, t0);
    p.handle(servers_changed{servers}, t0);
    EXPECT_TRUE(p.handle(tick{}, t0 + 10s).empty());
}

// Guards against too little capacity for urgent requests after the failure of a zone.
TEST(capacity_planner, reserved_demand_fits_after_the_failure_of_any_one_zone) {
    auto settings = make_policy();
    settings.tolerate_zone_failure = true;
    auto p = make_planner(settings, {make_offer(standard, zone_a), make_offer(standard, zone_b)});
    p.handle(demand_measured{{{zone_a, 10, 0}, {zone_b, 10, 0}}}, t0);
    const auto actions = p.handle(tick{}, t0);
    EXPECT_GE(requested_servers(actions, standard, zone_a), 4);
    EXPECT_GE(requested_servers(actions, standard, zone_b), 4);
}

}  // namespace
}  // namespace chicorygap::scaling
