#include "../src/zone_loads.h"

#include "../src/peer_loads.h"

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::scheduling {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point now{1000s};

struct zone_loads_test : testing::Test {
    server_state& add_server(const std::string& id, const std::string& zone, std::uint32_t slots) {
        auto& s = *owned.emplace_back(std::make_unique<server_state>());
        s.info.id = base::backend_server_id{id};
        s.info.zone = base::zone_id{zone};
        s.info.slots = slots;
        servers.push_back(&s);
        return s;
    }
    void add_report(const std::string& peer, const std::string& zone, const load_report& r) {
        peers.set(base::vm_id{peer}, r, now + 1s, now, base::zone_id{zone});
    }
    static server_load load(const std::string& server, std::uint32_t running, std::int64_t kv_tokens = 0) {
        return {.server = base::backend_server_id{server}, .running = running, .kv_cache_tokens = kv_tokens};
    }
    std::map<std::string, zone_load> sum(const load_report& local = {}) {
        peers.update_servers(servers, now);
        std::map<std::string, zone_load> out;
        for (const auto& z : sum_zone_loads(servers, {home, peers, local, engine, 40, 400}, now)) {
            out[z.zone.str()] = z;
        }
        return out;
    }

    base::zone_id home{"z1"};
    peer_loads peers{std::chrono::milliseconds{400}};
    std::optional<catalog::engine_parameters> engine;
    std::vector<std::unique_ptr<server_state>> owned;
    std::vector<server_state*> servers;
};

// Guards against demand that is counted where requests run: the plan would then react to its own effect.
TEST_F(zone_loads_test, demand_counts_for_the_zone_of_the_daemons) {
    add_server("a", "z1", 10);
    add_server("b", "z2", 10);
    load_report digest;
    digest.servers = {load("b", 2)};
    add_report("zone z2", "z2", digest);
    load_report peer;
    peer.servers = {load("a", 5), load("b", 3)};
    peer.waiting = 4;
    add_report("peer", "z1", peer);
    auto zones = sum();
    EXPECT_EQ(zones["z1"].demand, 12);
    EXPECT_EQ(zones["z1"].waiting, 4);
    EXPECT_EQ(zones["z1"].reports, 2U) << "the peer and this daemon";
    EXPECT_EQ(zones["z2"].demand, 2);
    EXPECT_EQ(zones["z2"].running, 5);
    EXPECT_EQ(zones["z2"].running_from_home, 3);
    EXPECT_EQ(zones["z2"].reports, 1U);
}

// Guards against places of servers that take no requests, and of memory that is full.
TEST_F(zone_loads_test, places_are_those_that_requests_can_use) {
    add_server("a", "z1", 10).info.draining = true;
    add_server("b", "z2", 10);
    add_server("c", "z3", 10).queue_reported_until = now + 1s;
    load_report r;
    r.servers = {load("a", 5), load("b", 4, 40'000), load("c", 6)};
    add_report("peer", "z1", r);
    EXPECT_EQ(sum()["z1"].places, 0);
    EXPECT_EQ(sum()["z1"].demand, 10) << "requests on a draining server end without needing a place";
    EXPECT_EQ(sum()["z2"].places, 10);
    add_server("d", "z4", 3);
    add_report("other", "z1", {{load("d", 5)}});
    EXPECT_EQ(sum()["z4"].places, 3) << "two of the requests queue at the server";
    EXPECT_EQ(sum()["z3"].places, 6) << "a server with a queue takes no further requests for now";
    engine = catalog::engine_parameters{.slots = 32, .kv_capacity_tokens = 60'000};
    EXPECT_NEAR(sum()["z2"].places, 5.52, 0.01) << "55,200 usable tokens at 10,000 a request";
}

// Failure: a service has no server in this daemon's zone.
TEST_F(zone_loads_test, zone_without_servers_is_listed) {
    add_server("b", "z2", 10);
    load_report local;
    local.waiting = 2;
    auto zones = sum(local);
    ASSERT_EQ(zones.count("z1"), 1U);
    EXPECT_EQ(zones["z1"].places, 0);
    EXPECT_EQ(zones["z1"].demand, 2);
}

}  // namespace
}  // namespace chicorygap::scheduling
