#include "catalog/server_directory.h"

#include <gtest/gtest.h>

#include <set>

namespace chicorygap::catalog {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{100s};

backend_server make_server(const std::string& id) {
    backend_server s;
    s.id = base::backend_server_id{id};
    s.service = base::service_id{"assistant"};
    return s;
}

std::size_t server_count(const server_directory& d) {
    return d.servers().size();
}

// Guards against requests to a server that shut down without draining.
TEST(server_directory, missing_entry_is_removed_at_once_while_the_store_is_reachable) {
    server_directory d{2s};
    d.observe({make_server("a"), make_server("b")}, start);
    d.observe({make_server("b")}, start + 1s);
    EXPECT_EQ(server_count(d), 1U);
}

// Guards against losing all servers because their entries expired during an outage of the store.
TEST(server_directory, entries_that_expire_in_an_outage_are_kept_until_servers_register_again) {
    server_directory d{5s};
    d.observe({make_server("a"), make_server("b")}, start);
    d.set_store_reachable(false, start + 1s);
    d.set_store_reachable(true, start + 4s);
    d.observe({make_server("b")}, start + 4s);
    EXPECT_EQ(server_count(d), 2U);
    EXPECT_FALSE(d.expire(start + 4s + 1900ms));
    d.observe({make_server("a"), make_server("b")}, start + 4s + 1950ms);
    EXPECT_FALSE(d.expire(start + 10s));
    EXPECT_EQ(server_count(d), 2U);
}

// Guards against requests after the drain time to a server that shut down at the end of an outage:
// hunt-6861-15 of utkp-router and scale-2 seed 623356916942 of lsra-drainops exceeded the drain limit by 31
// to 240 ms.
TEST(server_directory, expired_entry_is_removed_before_the_drain_time_ends) {
    server_directory d{2s};
    d.observe({make_server("a"), make_server("b")}, start);
    d.set_store_reachable(false, start + 1s);
    d.set_store_reachable(true, start + 4s);
    d.observe({make_server("b")}, start + 4s);
    EXPECT_TRUE(d.expire(start + 4s + 1850ms));
    EXPECT_EQ(server_count(d), 1U);
}

TEST(server_directory, no_entry_is_removed_while_the_store_is_unreachable) {
    server_directory d{2s};
    d.observe({make_server("a"), make_server("b")}, start);
    d.set_store_reachable(false, start + 1s);
    d.observe({make_server("b")}, start + 2s);
    EXPECT_FALSE(d.expire(start + 60s));
    EXPECT_EQ(server_count(d), 2U);
}

// Failure: the store turns this daemon away and serves its peers while a server leaves: hunt-a579-31 of
// lsra-drainops.
TEST(server_directory, server_that_left_is_removed_when_a_peer_confirms_it_during_an_outage) {
    server_directory d{2s};
    d.observe({make_server("a"), make_server("b")}, start);
    d.set_store_reachable(false, start + 1s);
    d.observe({make_server("b")}, start + 8s);
    EXPECT_EQ(server_count(d), 2U);
    EXPECT_FALSE(d.removals_final(start + 8s));
    EXPECT_TRUE(d.confirm_removals(start + 8s));
    EXPECT_EQ(server_count(d), 1U);
    EXPECT_TRUE(d.removals_final(start + 8s)) << "what a peer confirmed may be passed on";
}

// Guards against a confirmation that is applied to a later list.
TEST(server_directory, confirmation_holds_for_the_observed_list_only) {
    server_directory d{2s};
    d.observe({make_server("a"), make_server("b")}, start);
    d.set_store_reachable(false, start + 1s);
    d.confirm_removals(start + 8s);
    d.observe({make_server("b")}, start + 8s);
    EXPECT_EQ(server_count(d), 2U);
    EXPECT_FALSE(d.removals_final(start + 8s));
}

// Guards against a daemon that saw little of an outage and tells its peers that expired entries were removed.
TEST(server_directory, removals_are_final_only_after_an_undisturbed_contact) {
    server_directory d{2s};
    d.observe({make_server("a")}, start);
    EXPECT_FALSE(d.removals_final(start + 1s)) << "the store may have returned just before the start";
    EXPECT_TRUE(d.removals_final(start + 2s));
    d.record_store_failure(start + 3s);
    EXPECT_FALSE(d.removals_final(start + 4s));
    EXPECT_TRUE(d.removals_final(start + 5s));
    d.set_store_reachable(false, start + 6s);
    EXPECT_FALSE(d.removals_final(start + 9s));
    d.set_store_reachable(true, start + 10s);
    EXPECT_FALSE(d.removals_final(start + 11s));
    EXPECT_TRUE(d.removals_final(start + 12s));
}

// Failure: the store returns from a copy that lists a server that has left since, and one that drains, as
// ready.
TEST(server_directory, servers_that_left_are_not_used_because_a_copy_lists_them) {
    server_directory d{2s};
    d.observe({make_server("a"), make_server("b"), make_server("c")}, start);
    auto draining = make_server("b");
    draining.draining = true;
    d.observe({draining, make_server("c")}, start + 1s);
    d.store_restored(start + 5s);
    const std::set ids{base::backend_server_id{"a"}, base::backend_server_id{"b"},
                       base::backend_server_id{"c"}};
    d.observe({make_server("a"), make_server("b"), make_server("c")}, start + 5s, ids);
    ASSERT_EQ(server_count(d), 2U);
    EXPECT_TRUE(d.servers()[0].draining);
    EXPECT_FALSE(d.servers()[1].draining);
    EXPECT_EQ(d.ignored_count(), 1U);
    EXPECT_FALSE(d.removals_final(start + 6s)) << "not for the new history";
    // Another instance under the same id is another server, and so is one that has written its entry again.
    auto restarted = make_server("a");
    restarted.incarnation = 7;
    d.observe({restarted, make_server("b"), make_server("c")}, start + 6s, ids);
    EXPECT_EQ(server_count(d), 3U);
    d.observe({restarted, make_server("b"), make_server("c")}, start + 7s);
    EXPECT_FALSE(d.servers()[1].draining);
}

// Failure: the copy lacks a server that has come since.
TEST(server_directory, servers_that_the_copy_lacks_have_time_to_register_again) {
    server_directory d{5s};
    d.observe({make_server("a"), make_server("b")}, start);
    d.store_restored(start + 4s);
    d.observe({make_server("a")}, start + 4s);
    EXPECT_EQ(server_count(d), 2U);
    EXPECT_FALSE(d.expire(start + 4s + 1900ms));
    EXPECT_TRUE(d.expire(start + 4s + 2s));
    EXPECT_EQ(server_count(d), 1U);
}

TEST(server_directory, new_incarnation_replaces_the_old_one) {
    server_directory d{2s};
    d.observe({make_server("a")}, start);
    auto restarted = make_server("a");
    restarted.incarnation = 7;
    d.observe({restarted}, start + 1s);
    ASSERT_EQ(server_count(d), 1U);
    EXPECT_EQ(d.servers().front().incarnation, 7);
}

}  // namespace
}  // namespace chicorygap::catalog
