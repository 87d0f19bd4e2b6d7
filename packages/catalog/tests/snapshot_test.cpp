#include "catalog/snapshot.h"

#include <gtest/gtest.h>

namespace chicorygap::catalog {
namespace {

route make_route(const std::string& name, const std::string& host, const std::string& prefix) {
    route r;
    r.name = name;
    r.host = host;
    r.path_prefix = prefix;
    r.services = {{base::service_id{"s"}, 1}};
    return r;
}

std::string route_name(const snapshot& s, const std::string& host, const std::string& path) {
    const auto* r = s.find_route(host, path);
    return r == nullptr ? "" : r->name;
}

TEST(snapshot, longest_prefix_of_the_host_is_selected) {
    snapshot s;
    s.add(make_route("short", "h", "/a/"));
    s.add(make_route("long", "h", "/a/b/"));
    s.add(make_route("other", "g", "/a/b/c/"));
    s.add(make_route("root", "r", "/"));
    EXPECT_EQ(route_name(s, "h", "/a/x"), "short");
    EXPECT_EQ(route_name(s, "h", "/a/b/c/d"), "long");
    EXPECT_EQ(route_name(s, "h", "/a/b"), "short");
    EXPECT_EQ(route_name(s, "h", "/a/b/"), "long");
    EXPECT_EQ(route_name(s, "h", "/ab/"), "");
    EXPECT_EQ(route_name(s, "x", "/a/"), "");
    EXPECT_EQ(route_name(s, "r", "/anything"), "root");
    EXPECT_EQ(route_name(s, "h:8080", "/a/x"), "short");
}

// Guards against selecting a route by a slash in the query string.
TEST(snapshot, query_string_does_not_affect_route_selection) {
    snapshot s;
    s.add(make_route("a", "h", "/a/"));
    s.add(make_route("deep", "h", "/a/q?x=/"));
    EXPECT_EQ(route_name(s, "h", "/a/q?x=/b/"), "a");
    EXPECT_EQ(s.find_route("h", ""), nullptr);
    EXPECT_EQ(s.find_route("h", "nothing"), nullptr);
}

TEST(snapshot, workspace_is_found_by_any_of_its_api_keys) {
    snapshot s;
    s.add_api_key("k1", {base::workspace_id{"north"}, base::tier{1}});
    s.add_api_key("k2", {base::workspace_id{"north"}, base::tier{1}});
    ASSERT_NE(s.find_workspace("k2"), nullptr);
    EXPECT_EQ(s.find_workspace("k2")->id.str(), "north");
    EXPECT_EQ(s.find_workspace("k3"), nullptr);
    EXPECT_EQ(s.find_workspace(""), nullptr);
}

TEST(snapshot, traffic_split_follows_the_weights) {
    route r;
    r.services = {{base::service_id{"a"}, 90}, {base::service_id{"b"}, 10}};
    EXPECT_EQ(select_service(r, 0.0).str(), "a");
    EXPECT_EQ(select_service(r, 0.899).str(), "a");
    EXPECT_EQ(select_service(r, 0.901).str(), "b");
    EXPECT_EQ(select_service(r, 1.0).str(), "b");
    r.services = {{base::service_id{"a"}, 0}, {base::service_id{"b"}, 5}};
    EXPECT_EQ(select_service(r, 0.0).str(), "b");
}

}  // namespace
}  // namespace chicorygap::catalog
