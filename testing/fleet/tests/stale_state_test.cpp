#include "fleet.h"

namespace chicorygap::testing_fleet {
namespace {

using namespace std::chrono_literals;

struct stale_state : fleet {};

// Failure: the store turns one daemon away and serves the others while a server leaves.
TEST_F(stale_state, server_that_left_is_not_used_by_a_daemon_that_the_store_turns_away) {
    for (const auto* id : {"s1", "s2", "s3"}) {
        add_server(id, standin::order_service);
    }
    start_daemons();
    ASSERT_EQ(servers_used_by(0, 30).size(), 3U);
    disconnect_from_store(0);
    run_for(1s);  // daemon 0 notices the failure
    servers[0]->deregister();
    run_for(drain_time);
    EXPECT_FALSE(servers_used_by(0, 30).contains("s1"));
    reconnect_to_store(0);
    run_for(300ms);
    EXPECT_FALSE(servers_used_by(0, 30).contains("s1"));
}

// Failure: the same while configurations follow each other faster than the daemon can fetch them from peers.
TEST_F(stale_state, server_that_left_is_not_used_while_configurations_change_all_the_time) {
    for (const auto* id : {"s1", "s2"}) {
        add_server(id, standin::order_service);
    }
    start_daemons();
    disconnect_from_store(0);
    const auto change_configuration_for = [&](base::duration d) {
        const auto end = base::boot_clock::now() + d;
        while (base::boot_clock::now() < end) {
            configure();
            run_for(50ms);
        }
    };
    change_configuration_for(1s);
    servers[0]->deregister();
    change_configuration_for(drain_time);
    EXPECT_FALSE(servers_used_by(0, 30).contains("s1"));
}

// Failure: the store is away, entries expire, and one daemon does not reach the store when it is back.
// Guards against a daemon that drops live servers because a peer's copy lacks them.
TEST_F(stale_state, entries_that_expire_in_an_outage_are_kept_by_a_daemon_that_was_told_by_peers) {
    for (const auto* id : {"s1", "s2"}) {
        add_server(id, standin::order_service);
    }
    start_daemons();
    disconnect_from_store(0);
    store.set_fault(standin::store_fault::unavailable);
    run_for(1500ms);
    servers[0]->deregister();
    servers[1]->deregister();
    store.set_fault(standin::store_fault::none);
    const auto returned = base::boot_clock::now();
    while (base::boot_clock::now() < returned + 1500ms) {
        EXPECT_EQ(send(0).status, 200);
        EXPECT_EQ(send(1).status, 200);
        run_for(20ms);
    }
    for (const auto& s : servers) {
        s->register_self(s->address());
    }
    for (int k = 0; k < 40; ++k) {
        EXPECT_EQ(send(0).status, 200);
        run_for(50ms);
    }
}

// Failure: the store delivers no events for a while and drops its history. Guards against taking the silence
// of a watch for the absence of changes.
TEST_F(stale_state, revoked_key_is_rejected_in_time_while_watches_are_silent) {
    constexpr base::duration configuration_deadline = 2s;
    add_server("s1", standin::order_service);
    start_daemons();
    configure();  // ends the pending watches; those that follow are silent
    store.set_watches_silent(true);
    run_for(300ms);
    configuration.api_keys["north"] = {};
    configure();
    store.discard_history();
    store.set_watches_silent(false);
    run_for(configuration_deadline);
    for (std::size_t i = 0; i < daemon_count; ++i) {
        EXPECT_EQ(send(i).status, 401) << "daemon " << i;
    }
}

// Failure: the same for the list of servers.
TEST_F(stale_state, server_that_left_is_not_used_after_its_drain_time_while_watches_are_silent) {
    for (const auto* id : {"s1", "s2"}) {
        add_server(id, standin::order_service);
    }
    start_daemons();
    add_server("s3", standin::order_service);  // ends the pending watches; those that follow are silent
    store.set_watches_silent(true);
    run_for(700ms);  // longer than changes of the list are batched
    servers[0]->deregister();
    store.discard_history();
    store.set_watches_silent(false);
    run_for(drain_time);
    for (std::size_t i = 0; i < daemon_count; ++i) {
        EXPECT_FALSE(servers_used_by(i, 20).contains("s1")) << "daemon " << i;
    }
}

}  // namespace
}  // namespace chicorygap::testing_fleet
