#include "test_util.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace chicorygap::routing {
namespace {

using namespace testing;

// Guards against new requests on a draining server, either because the server list lags and still shows it as
// live, or because all other servers are full.
TEST(selection, draining_server_receives_no_new_requests) {
    auto r = make_router();
    auto servers = make_servers(3, 2);
    r.handle(servers_changed{servers}, start);
    r.handle(server_draining{server_id(0)}, start);
    servers[1].draining = true;
    r.handle(servers_changed{servers}, start + 1s);  // this list still shows s0 as live
    servers[1].draining = false;
    r.handle(servers_changed{servers}, start + 2s);
    for (int i = 0; i < 1000; i++) {
        const auto c = r.select_server({.urgent = i % 2 == 0, .idempotent = i % 3 == 0}, start + 3s);
        ASSERT_TRUE(c);
        EXPECT_EQ(c->server, server_id(2));
        r.handle(attempt_started{make_attempt_id(i), c->server}, start + 3s);
    }
    r.handle(server_draining{server_id(2)}, start + 4s);
    EXPECT_FALSE(r.select_server({}, start + 4s));
    EXPECT_EQ(r.free_slots(start + 4s), 0);
}

// Guards against herd behavior: many daemons see one server as idle in the same stale report, and all select
// it. With two random candidates of n = 30 servers, a daemon considers the idle server with probability 2/n,
// so that the server receives 2/n of the requests. The bound allows 25% for random variation over 200 rounds
// of 60 daemons.
TEST(selection, stale_report_does_not_cause_herd_behavior) {
    constexpr int daemons = 60;
    constexpr int servers = 30;
    constexpr int rounds = 200;
    int on_idle = 0;
    for (int d = 0; d < daemons * rounds; d++) {
        auto r = make_router(static_cast<std::uint64_t>(d) + 1);
        r.handle(servers_changed{make_servers(servers)}, start);
        for (int s = 0; s < servers; s++) {
            r.handle(load_reported{server_id(s), s == 0 ? 0 : 6, 0, 2s}, start);
        }
        on_idle += r.select_server({}, start)->server == server_id(0) ? 1 : 0;
    }
    const double share = static_cast<double>(on_idle) / (daemons * rounds);
    RecordProperty("share", std::to_string(share));
    EXPECT_LE(share, 1.25 * 2 / servers);
    EXPECT_GT(share, 1.0 / servers);  // preferred more often than by a random choice
}

// Guards against prefix affinity that overloads the server with a popular prefix. The bound is 1.25 times the
// mean load, rounded up to whole requests.
TEST(selection, prefix_affinity_keeps_imbalance_bounded) {
    constexpr int servers = 10;
    auto r = make_router();
    r.handle(servers_changed{make_servers(servers, 50)}, start);
    std::map<std::string, int> load;
    int cached = 0;
    for (int i = 1; i <= 300; i++) {
        const auto c = r.select_server({.prefixes = {7, 77}}, start);
        const int after = ++load[c->server.str()];
        if (c->selected_by_prefix) {
            cached++;
            EXPECT_LE(after, std::ceil(1.25 * i / servers)) << "request " << i;
        }
        r.handle(attempt_started{make_attempt_id(i), c->server, 77}, start);
    }
    EXPECT_GT(cached, 200);
}

// Guards against permanent use of a cache entry whose removal event was lost, and against loss of all
// affinity after a gap in the events.
TEST(selection, gap_in_cache_events_limits_entry_lifetime) {
    auto r = make_router();
    r.handle(servers_changed{make_servers(20)}, start);
    using change = cache_event::change;
    r.handle(cache_event{server_id(3), 1, change::added, 7}, start);
    r.handle(cache_event{server_id(3), 5, change::added, 8}, start);
    EXPECT_TRUE(r.select_server({.prefixes = {7}}, start + 5s)->selected_by_prefix);
    EXPECT_FALSE(r.select_server({.prefixes = {7}}, start + 11s)->selected_by_prefix);
    EXPECT_EQ(r.select_server({.prefixes = {7, 8}}, start + 11s)->server, server_id(3));
    r.handle(cache_event{server_id(3), 6, change::cleared, 0}, start + 12s);
    r.handle(cache_event{server_id(3), 4, change::added, 8}, start + 12s);  // late event, ignored
    EXPECT_FALSE(r.select_server({.prefixes = {7, 8}}, start + 12s)->selected_by_prefix);
}

// Guards against urgent or non-idempotent requests on a server that may be reclaimed while another server has
// a free slot, even in another zone.
TEST(selection, reclaimable_servers_get_urgent_or_non_idempotent_requests_only_when_others_are_full) {
    auto r = make_router();
    auto servers = make_servers(2, 4);
    servers[0].reclaimable = true;
    servers[1].zone = base::zone_id{"b"};
    r.handle(servers_changed{servers}, start);
    for (int i = 0; i < 4; i++) {
        EXPECT_EQ(r.select_server({.urgent = true}, start)->server, server_id(1));
        EXPECT_EQ(r.select_server({.idempotent = false}, start)->server, server_id(1));
        EXPECT_EQ(r.select_server({}, start)->server, server_id(0));
        r.handle(attempt_started{make_attempt_id(i), server_id(1)}, start);
    }
    EXPECT_EQ(r.select_server({.urgent = true}, start)->server, server_id(0));
}

// Guards against traffic to other zones while the daemon's zone has free slots, and against use of a more
// expensive zone before a cheaper one.
TEST(selection, own_zone_is_preferred_then_cheaper_zones) {
    auto r = make_router();
    auto servers = make_servers(2, 1);
    for (auto& s : make_servers(1, 1, "b", 2)) {
        servers.push_back(s);
        servers.back().cost = 2;
    }
    for (auto& s : make_servers(1, 1, "c", 3)) {
        servers.push_back(s);
    }
    r.handle(servers_changed{servers}, start);
    std::vector<std::string> zones;
    for (int i = 0; i < 4; i++) {
        const auto c = r.select_server({}, start);
        EXPECT_TRUE(c->has_free_slot);
        zones.push_back(c->zone.str());
        r.handle(attempt_started{make_attempt_id(i), c->server}, start);
    }
    EXPECT_EQ(zones, (std::vector<std::string>{"a", "a", "c", "b"}));
    EXPECT_FALSE(r.select_server({}, start)->has_free_slot);
}

// Guards against connections from every daemon to every server in a zone of the design size (90 daemons, 600
// servers), and against large changes of a daemon's subset when the server list changes.
TEST(selection, large_zones_use_stable_subsets) {
    auto r = make_router();
    std::vector<peer_info> peers;
    peers.reserve(90);
    for (int i = 0; i < 90; i++) {
        peers.push_back({base::vm_id{"d" + std::to_string(i)}, base::zone_id{"a"}});
    }
    r.handle(peers_changed{peers}, start);
    const auto chosen = [&r] {
        std::set<std::string> out;
        for (int i = 0; i < 2000; i++) {
            out.insert(r.select_server({}, start)->server.str());
        }
        return out;
    };
    r.handle(servers_changed{make_servers(600)}, start);
    const auto before = chosen();
    EXPECT_EQ(before.size(), 40U);
    r.handle(servers_changed{make_servers(605, 8, "a", 5)}, start);
    std::vector<std::string> kept;
    std::ranges::set_intersection(before, chosen(), std::back_inserter(kept));
    EXPECT_GE(kept.size(), 30U);
}

}  // namespace
}  // namespace chicorygap::routing
