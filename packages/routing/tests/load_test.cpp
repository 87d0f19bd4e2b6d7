#include "test_util.h"

#include <gtest/gtest.h>

namespace chicorygap::routing {
namespace {

using namespace testing;

// Guards against counting this daemon's requests twice, or not at all, when the load report is delayed.
TEST(load, own_requests_since_the_report_are_added_once) {
    auto r = make_router();
    r.handle(servers_changed{make_servers(1)}, start);
    r.handle(attempt_started{make_attempt_id(1), server_id(0)}, start);
    r.handle(attempt_started{make_attempt_id(2), server_id(0)}, start + 2s);
    r.handle(load_reported{server_id(0), 3, 1, 1s}, start + 2s);  // measured between the two starts
    EXPECT_EQ(status_of(r, 0, start + 2s).load, 5);
    r.handle(attempt_finished{make_attempt_id(1), server_id(0)}, start + 3s);
    EXPECT_EQ(status_of(r, 0, start + 3s).load, 4);
    r.handle(load_reported{server_id(0), 9, 0, 3s}, start + 3s);  // older than the last report
    EXPECT_EQ(status_of(r, 0, start + 3s).load, 4);
}

// Guards against ignoring a peer's digest that is newer than the load report, and against adding one that is
// older.
TEST(load, peers_requests_since_the_report_are_added) {
    auto r = make_router();
    const base::vm_id peer{"d1"};
    r.handle(servers_changed{make_servers(1, 20)}, start);
    r.handle(peer_load_reported{peer, {{server_id(0), 4}}}, start);
    r.handle(load_reported{server_id(0), 5, 0, 0s}, start + 1s);
    EXPECT_EQ(status_of(r, 0, start + 1s).load, 5);
    r.handle(peer_load_reported{peer, {{server_id(0), 10}}}, start + 2s);
    EXPECT_EQ(status_of(r, 0, start + 2s).load, 11);
    r.handle(peer_load_reported{peer, {}}, start + 3s);
    EXPECT_EQ(status_of(r, 0, start + 3s).load, 1);
    r.handle(peer_load_reported{peer, {{server_id(0), 8}}}, start + 4s);
    r.handle(peers_changed{}, start + 5s);
    EXPECT_EQ(status_of(r, 0, start + 5s).load, 5);
}

// Guards against a server that stops reporting and appears idle because its last report was idle.
TEST(load, expired_report_is_replaced_by_the_daemons_counts) {
    auto r = make_router();
    r.handle(servers_changed{make_servers(1)}, start);
    r.handle(load_reported{server_id(0), 7, 0, 0s}, start);
    r.handle(attempt_started{make_attempt_id(1), server_id(0)}, start + 1s);
    r.handle(peer_load_reported{base::vm_id{"d1"}, {{server_id(0), 2}}}, start + 10s);
    EXPECT_EQ(status_of(r, 0, start + 20s).load, 3);
}

// Guards against several daemons that fill the same free slots, and against a single active daemon that
// cannot use the last free slots.
TEST(load, free_slots_are_shared_and_all_usable) {
    auto r = make_router();
    r.handle(servers_changed{make_servers(3, 10)}, start);
    EXPECT_EQ(r.free_slots(start), 30);
    const base::zone_id zone{"a"};
    r.handle(peers_changed{{{base::vm_id{"d0"}, zone}, {base::vm_id{"d1"}, zone}, {base::vm_id{"d2"}, zone}}},
             start);
    EXPECT_EQ(r.free_slots(start), 10);
    int started = 0;
    while (r.free_slots(start) > 0) {
        r.handle(attempt_started{make_attempt_id(started++), r.select_server({}, start)->server}, start);
    }
    EXPECT_EQ(started, 30);
}

}  // namespace
}  // namespace chicorygap::routing
