#include "fleet.h"

#include <optional>

namespace chicorygap::testing_fleet {
namespace {

using namespace std::chrono_literals;

/// Bound of the requirement, as `evacuation_milliseconds` names it.
constexpr base::duration bound = 5s;

struct evacuation : fleet {
    evacuation() { evacuation_deadline = bound; }

    void add_server_in(const std::string& zone) { add_server("s-" + zone, standin::order_service, zone); }

    void evacuate(const std::string& zone) { store.put("evacuations", zone, "{}"); }
    void take_back(const std::string& zone) { store.remove("evacuations", zone); }

    /// @return time until none of 20 requests to each daemon reaches the server; nothing if that takes longer
    /// than the bound.
    std::optional<base::duration> time_until_unused(const std::string& server) {
        const auto begin = base::boot_clock::now();
        while (base::boot_clock::now() - begin < bound) {
            bool used = false;
            const auto checked_at = base::boot_clock::now();
            for (std::size_t i = 0; i < daemon_count; ++i) {
                used = servers_used_by(i, 20).contains(server) || used;
            }
            if (!used) {
                return checked_at - begin;
            }
        }
        return std::nullopt;
    }
};

// Failure: a zone is evacuated, then a second one, then both are taken back. Guards against requests to an
// evacuated zone after the bound, and against a zone that gets none after its return.
TEST_F(evacuation, evacuated_zones_get_nothing_more_and_get_work_again) {
    for (const auto* zone : {"a", "b", "c"}) {
        add_server_in(zone);
    }
    start_daemons();
    ASSERT_TRUE(servers_used_by(0, 30).contains("s-a"));
    evacuate("a");
    EXPECT_TRUE(time_until_unused("s-a").has_value());
    evacuate("b");
    EXPECT_TRUE(time_until_unused("s-b").has_value());
    EXPECT_EQ(servers_used_by(1, 30), std::set<std::string>{"s-c"});
    take_back("a");
    EXPECT_TRUE(run_until([&] { return servers_used_by(0, 5).contains("s-a"); }, bound));
}

// Failure: a daemon does not reach the store when its zone is evacuated. Guards against a daemon that does
// not learn of the evacuation from the beacons of others.
TEST_F(evacuation, daemon_without_the_store_learns_of_it_from_its_peers) {
    add_server_in("a");
    add_server_in("b");
    start_daemons();
    disconnect_from_store(0);
    run_for(1s);  // daemon 0 notices the failure
    evacuate("a");
    EXPECT_TRUE(time_until_unused("s-a").has_value());
    take_back("a");
    EXPECT_TRUE(run_until([&] { return servers_used_by(0, 5).contains("s-a"); }, bound));
}

// Failure: a daemon is restarted while its zone is evacuated. Guards against requests to the zone before the
// entry is read.
TEST_F(evacuation, restarted_daemon_sends_nothing_to_the_zone) {
    add_server_in("a");
    add_server_in("b");
    start_daemons();
    evacuate("a");
    ASSERT_TRUE(time_until_unused("s-a").has_value());
    daemons[0].process->kill();
    daemons[0].process->start();
    ASSERT_TRUE(run_until([&] { return send(0).status == 200; }));
    EXPECT_EQ(servers_used_by(0, 30), std::set<std::string>{"s-b"});
}

// Failure: all zones are evacuated. Guards against refusals that do not say that the request was not run.
TEST_F(evacuation, requests_are_refused_as_not_run_while_all_zones_are_evacuated) {
    add_server_in("a");
    start_daemons();
    evacuate("a");
    ASSERT_TRUE(time_until_unused("s-a").has_value());
    EXPECT_EQ(send(0).status, 503);
    take_back("a");
    EXPECT_TRUE(run_until([&] { return send(0).status == 200; }, bound));
}

}  // namespace
}  // namespace chicorygap::testing_fleet
