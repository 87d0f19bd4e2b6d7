#include "scaling/planner.h"

#include <gtest/gtest.h>

#include <string>

namespace chicorygap::scaling {
namespace {

using namespace std::chrono_literals;

const base::zone_id a{"a"};
const base::zone_id b{"b"};
const server_kind_id standard{"standard"};
const server_kind_id cheap{"cheap"};
const base::time_point t0{1000s};

offer make_offer(const server_kind_id& kind, const base::zone_id& zone, int available = 1000) {
    const bool reclaimable = kind == cheap;
    return {kind, zone, 10, reclaimable ? 0.3 : 1.0, reclaimable, reclaimable ? 0.05 : 0.0, available};
}

policy simple_policy() {
    policy p;
    p.target_utilisation = 0.5;
    p.survive_zone_loss = false;
    p.max_reclaimable_share = 0.5;
    return p;
}

std::vector<server> servers_in(const base::zone_id& zone, const server_kind_id& kind, int count,
                               int running = 1) {
    std::vector<server> out;
    out.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        out.push_back({base::backend_server_id{kind.str() + std::to_string(i)}, kind, zone,
                       server_state::active, running});
    }
    return out;
}

int requested(const std::vector<action>& actions, const server_kind_id& kind, const base::zone_id& zone) {
    int n = 0;
    for (const auto& x : actions) {
        const auto* r = std::get_if<request_servers>(&x);
        n += r != nullptr && r->kind == kind && r->zone == zone ? r->count : 0;
    }
    return n;
}

template <typename T>
std::vector<std::string> ids(const std::vector<action>& actions) {
    std::vector<std::string> out;
    for (const auto& x : actions) {
        if (const auto* v = std::get_if<T>(&x)) {
            out.push_back(v->id.str());
        }
    }
    return out;
}

planner make_planner(const policy& p, const std::vector<offer>& offers) {
    planner out{p};
    out.handle(offers_changed{offers}, t0);
    return out;
}

// Guards against urgent or non-idempotent work on servers that may be taken away.
TEST(planner, reserved_work_gets_servers_that_cannot_be_reclaimed) {
    auto p = make_planner(simple_policy(), {make_offer(standard, a), make_offer(cheap, a)});
    p.handle(demand_measured{{{a, 10, 20}}}, t0);
    const auto actions = p.handle(tick{}, t0);
    EXPECT_EQ(requested(actions, standard, a), 4);  // 10 / 0.5 reserved and half of 20 / 0.5
    EXPECT_EQ(requested(actions, cheap, a), 2);
}

// Guards against saving on price what is lost by reclaims.
TEST(planner, frequent_reclaims_make_a_cheap_kind_expensive) {
    auto risky = make_offer(cheap, a);
    risky.reclaims_per_hour = 14;
    auto p = make_planner(simple_policy(), {make_offer(standard, a), risky});
    p.handle(demand_measured{{{a, 0, 20}}}, t0);
    EXPECT_EQ(requested(p.handle(tick{}, t0), cheap, a), 0);
}

// Guards against ordering into a zone whose servers are being reclaimed.
TEST(planner, a_reclaim_stops_requests_for_cheap_servers_in_its_zone) {
    auto p = make_planner(simple_policy(), {make_offer(standard, a), make_offer(cheap, a)});
    p.handle(demand_measured{{{a, 0, 20}}}, t0);
    p.handle(server_reclaimed{a}, t0);
    EXPECT_EQ(requested(p.handle(tick{}, t0 + 1min), cheap, a), 0);
    EXPECT_EQ(requested(p.handle(tick{}, t0 + 16min), cheap, a), 2);
}

// Guards against a second order while the servers of the first one start.
TEST(planner, booting_servers_count_as_capacity) {
    auto p = make_planner(simple_policy(), {make_offer(standard, a)});
    p.handle(demand_measured{{{a, 20, 0}}}, t0);
    auto servers = servers_in(a, standard, 4);
    servers[3].state = server_state::booting;
    p.handle(servers_changed{servers}, t0);
    EXPECT_TRUE(p.handle(tick{}, t0).empty());
}

// Guards against servers that are released in a lull and ordered again a minute later.
TEST(planner, capacity_falls_only_after_the_release_delay) {
    auto p = make_planner(simple_policy(), {make_offer(standard, a)});
    p.handle(demand_measured{{{a, 20, 0}}}, t0);
    p.handle(servers_changed{servers_in(a, standard, 4)}, t0);
    p.handle(demand_measured{{{a, 5, 0}}}, t0 + 1min);
    EXPECT_TRUE(p.handle(tick{}, t0 + 9min).empty());
    p.handle(demand_measured{{{a, 5, 0}}}, t0 + 11min);
    EXPECT_EQ(ids<drain_server>(p.handle(tick{}, t0 + 11min)).size(), 1U);
}

// Guards against interrupting requests (P12), and against paying for a drained server.
TEST(planner, a_server_is_released_only_when_it_runs_nothing) {
    auto p = make_planner(simple_policy(), {make_offer(standard, a)});
    p.handle(demand_measured{{{a, 5, 0}}}, t0);
    auto servers = servers_in(a, standard, 2);
    servers[0].state = server_state::draining;
    p.handle(servers_changed{servers}, t0);
    EXPECT_TRUE(ids<release_server>(p.handle(tick{}, t0)).empty());
    servers[0].running = 0;
    p.handle(servers_changed{servers}, t0);
    EXPECT_EQ(ids<release_server>(p.handle(tick{}, t0)), std::vector<std::string>{"standard0"});
}

// Guards against ordering a new server while an existing one drains.
TEST(planner, rising_demand_keeps_a_draining_server) {
    auto p = make_planner(simple_policy(), {make_offer(standard, a)});
    auto servers = servers_in(a, standard, 2);
    servers[0].state = server_state::draining;
    p.handle(servers_changed{servers}, t0);
    p.handle(demand_measured{{{a, 10, 0}}}, t0);
    const auto actions = p.handle(tick{}, t0);
    EXPECT_EQ(ids<keep_server>(actions), std::vector<std::string>{"standard0"});
    EXPECT_EQ(requested(actions, standard, a), 0);
}

// Guards against unmet demand when the platform has no servers left in a zone.
TEST(planner, what_a_zone_cannot_provide_is_requested_elsewhere) {
    auto p = make_planner(simple_policy(), {make_offer(standard, a, 1), make_offer(standard, b)});
    p.handle(demand_measured{{{a, 20, 0}, {b, 0, 0}}}, t0);
    const auto actions = p.handle(tick{}, t0);
    EXPECT_EQ(requested(actions, standard, a), 1);
    EXPECT_EQ(requested(actions, standard, b), 3);

    // Guards against requesting, or draining, the same servers again on every tick.
    auto servers = servers_in(a, standard, 1);
    for (const auto& s : servers_in(b, standard, 3)) {
        servers.push_back(s);
    }
    p.handle(offers_changed{{make_offer(standard, a, 0), make_offer(standard, b)}}, t0);
    p.handle(servers_changed{servers}, t0);
    EXPECT_TRUE(p.handle(tick{}, t0 + 10s).empty());
}

// Guards against a lost zone that takes the capacity for urgent work with it.
TEST(planner, reserved_work_fits_without_any_one_zone) {
    auto rules = simple_policy();
    rules.survive_zone_loss = true;
    auto p = make_planner(rules, {make_offer(standard, a), make_offer(standard, b)});
    p.handle(demand_measured{{{a, 10, 0}, {b, 10, 0}}}, t0);
    const auto actions = p.handle(tick{}, t0);
    EXPECT_GE(requested(actions, standard, a), 4);
    EXPECT_GE(requested(actions, standard, b), 4);
}

}  // namespace
}  // namespace chicorygap::scaling
