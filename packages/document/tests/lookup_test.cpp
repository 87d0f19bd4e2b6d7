#include "document/lookup.h"

#include "document/parser.h"
#include "sample.h"

#include <gtest/gtest.h>

#include <memory>

namespace chicorygap::document {
namespace {

using base::result_code;

class lookup_test : public testing::Test {
protected:
    lookup l_{std::make_shared<const service_document>(parse_or_throw(sample_text(), "b.ini"))};
    const base::wall_time early_{std::chrono::seconds{1801353599}};
    const base::wall_time expiry_{std::chrono::seconds{1801353600}};
};

TEST(key_digest, is_the_published_sha256) {
    // Guards against a digest that other tools cannot reproduce.
    EXPECT_EQ(hash_key("abc").str(), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_F(lookup_test, key_selects_its_workspace_only) {
    // Guards P3.
    EXPECT_EQ(l_.find_key(hash_key("demo-key-north"), early_).owner->id.str(), "north");
    EXPECT_EQ(l_.find_key(hash_key("demo-key-south"), early_).owner->id.str(), "south");
    EXPECT_EQ(l_.find_key(hash_key("other"), early_).code, result_code::key_unknown);
}

TEST_F(lookup_test, expired_and_revoked_keys_are_withdrawn) {
    // Guards P5: an expired key stops working at its expiry, not a moment later.
    EXPECT_EQ(l_.find_key(hash_key("demo-key-south"), expiry_).code, result_code::key_withdrawn);
    EXPECT_EQ(l_.find_key(hash_key("old-key-south"), early_).code, result_code::key_withdrawn);
}

TEST_F(lookup_test, longest_prefix_at_a_path_boundary_wins) {
    // Guards against a deposit being treated as a repeatable booking query.
    EXPECT_EQ(l_.find_route("POST", "/bookings/deposits/7").match->name, "deposits");
    EXPECT_EQ(l_.find_route("GET", "/bookings/7").match->name, "bookings");
    EXPECT_EQ(l_.find_route("GET", "/bookingsystem").code, result_code::route_unknown);
    EXPECT_EQ(l_.find_route("DELETE", "/bookings/deposits").code, result_code::method_not_allowed);
}

TEST_F(lookup_test, closed_route_admits_listed_workspaces_only) {
    // Guards against a workspace using a route reserved for others.
    const auto& deposits = *l_.find_route("POST", "/bookings/deposits").match;
    EXPECT_TRUE(admits(deposits, base::workspace_id{"north"}));
    EXPECT_FALSE(admits(deposits, base::workspace_id{"south"}));
}

TEST(forwarded_path, prefix_is_replaced_once) {
    // Guards against a backend server receiving a path with a doubled or missing separator.
    route r;
    r.path_prefix = "/questions";
    EXPECT_EQ(forwarded_path(r, "/questions/v1/chat"), "/questions/v1/chat");
    r.backend_path = "/";
    EXPECT_EQ(forwarded_path(r, "/questions/v1/questions"), "/v1/questions");
    r.backend_path = "/v1";
    EXPECT_EQ(forwarded_path(r, "/questions"), "/v1");
}

}  // namespace
}  // namespace chicorygap::document
