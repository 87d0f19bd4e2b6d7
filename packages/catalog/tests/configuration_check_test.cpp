#include "catalog/configuration_check.h"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <string>

namespace chicorygap::catalog {
namespace {

using namespace std::chrono_literals;

/// A configuration without findings: one route to one service, one workspace with a key.
struct configuration_check_test : testing::Test {
    configuration_check_test() {
        route r;
        r.host = "a.example";
        r.path_prefix = "/chat/";
        r.kind = request_kind::streaming;
        r.timeout = 15s;
        r.target_latency = 600ms;
        r.services = {{base::service_id{"llm"}, 1}};
        c.version = 7;
        c.routes.push_back({r, {"routes[0]", 3, "chat"}});
        service s;
        s.id = base::service_id{"llm"};
        s.engine = engine_parameters{.slots = 32, .kv_capacity_tokens = 300'000};
        s.scaling = scaling_parameters{.min_servers_per_zone = 1, .max_servers_per_zone = 4};
        c.services.push_back({s, {"services[0]", 9, "llm"}});
        c.api_keys_required = true;
        c.workspaces.push_back(
            {{{base::workspace_id{"north"}, {}}, {"secret-1"}}, {"tenants[0]", 12, "north"}});
    }

    route& first_route() { return c.routes.front().entry; }
    service& first_service() { return c.services.front().entry; }

    /// @return paths and texts of all findings.
    [[nodiscard]] std::string text(check_options o = {}) const {
        std::string out;
        for (const auto& f : configuration_check{o}.run(c)) {
            out += std::string{to_string(f.severity)} + " " + to_string(f.kind) + " " + f.place.path + ": " +
                   f.text + "\n";
        }
        return out;
    }
    [[nodiscard]] bool finds(const std::string& part, check_options o = {}) const {
        return text(o).find(part) != std::string::npos;
    }

    configuration_listing c;
};

// Guards against findings that operators learn to ignore.
TEST_F(configuration_check_test, sound_configuration_has_no_findings) {
    EXPECT_EQ(text(), "");
    EXPECT_TRUE(compare(c, c).empty());
}

// Failure: a route is copied and its prefix not changed; requests go to the other service without a message.
TEST_F(configuration_check_test, replaced_entries_are_found) {
    c.routes.push_back({first_route(), {"routes[1]", 5, "copy"}});
    c.services.push_back({first_service(), {"services[1]", 10, "llm"}});
    c.workspaces.push_back({{{base::workspace_id{"south"}, {}}, {"secret-1"}}, {"tenants[1]", 13, "south"}});
    EXPECT_TRUE(finds("error never_matches routes[0]: replaced by routes[1]")) << text();
    EXPECT_TRUE(finds("error never_matches services[0]: replaced by services[1]"));
    EXPECT_TRUE(finds("error never_matches tenants[0]: an API key of the workspace belongs to tenants[1]"));
    EXPECT_FALSE(finds("secret")) << "keys must not reach a terminal or a log";
}

// Failure: names that are written differently in two places.
TEST_F(configuration_check_test, entries_that_nothing_refers_to_are_found) {
    first_route().services = {{base::service_id{"lmm"}, 1}, {base::service_id{"llm"}, 0}};
    c.services.push_back({service{.id = base::service_id{"other"}}, {"services[1]", 10, "other"}});
    c.workspaces.front().entry.api_keys.clear();
    EXPECT_TRUE(finds("error never_matches routes[0]: service 'lmm' has no entry")) << text();
    EXPECT_TRUE(finds("warning never_matches routes[0]: service 'llm' has weight 0"));
    EXPECT_TRUE(finds("warning never_matches services[1]: no route names the service 'other'"));
    EXPECT_TRUE(finds("warning never_matches tenants[0]: workspace 'north' has no API key"));
    EXPECT_TRUE(finds("every request is refused"));
}

// The prefixes and hosts are those that `snapshot::find_route` cannot find.
TEST_F(configuration_check_test, routes_that_match_no_request_are_found) {
    for (const auto* prefix : {"", "/chat", "chat/", "/chat/?x=/"}) {
        first_route().path_prefix = prefix;
        EXPECT_TRUE(finds("matches no request")) << prefix;
        snapshot s;
        s.add(first_route());
        const std::string text = prefix;
        const auto path =
            text.rfind('/', 0) == 0 ? text : "/" + text;  // the path of a request begins with '/'
        EXPECT_EQ(s.find_route("a.example", path + "x"), nullptr) << prefix;
    }
    first_route().path_prefix = "/";
    first_route().host = "a.example:80";
    EXPECT_TRUE(finds("host 'a.example:80' matches no request"));
}

TEST_F(configuration_check_test, contradicting_limits_are_found) {
    const auto sound = c;
    const auto finds_after = [&](const std::function<void()>& change, const std::string& part) {
        c = sound;
        change();
        return finds(part) ? std::string{} : text();
    };
    EXPECT_EQ(finds_after([&] { first_route().target_latency = 16s; }, "16000 ms is above the time-out"), "");
    EXPECT_EQ(finds_after([&] { first_route().timeout = 0s; }, "time-out of 0 ms"), "");
    EXPECT_EQ(finds_after([&] { first_route().target_latency = 0s; }, "no request is in time"), "");
    EXPECT_EQ(finds_after([&] { first_route().target_gap = 20s; }, "between two events is 0 or above"), "");
    EXPECT_EQ(finds_after([&] { first_route().services[0].weight = 0; }, "all weights"), "");
    EXPECT_EQ(finds_after([&] { first_service().engine->slots = 0; }, "without slots"), "");
    EXPECT_EQ(finds_after([&] { first_service().engine->kv_capacity_tokens = 0; }, "without KV cache"), "");
    EXPECT_EQ(finds_after([&] { first_service().max_connections = 8; }, "fewer than its 32 slots"), "");
    EXPECT_EQ(finds_after([&] { first_service().scaling->min_servers_per_zone = 5; }, "at least 5"), "");
    EXPECT_EQ(finds_after([&] { c.limits.entry.max_header_bytes = 0; }, "limit on the header is 0"), "");
    EXPECT_EQ(finds_after([&] { c.limits.entry.max_body_bytes = 60'000'000; }, "60000000 bytes on the body"),
              "");
    EXPECT_EQ(finds_after([&] { c.limits.entry.header_timeout = 0s; }, "time for the header is 0"), "");
    EXPECT_EQ(finds_after([&] { c.limits.entry.idle_timeout = 1s; }, "longer than an idle connection"), "");
    c = sound;
    c.limits.entry.max_body_bytes = 60'000'000;
    EXPECT_FALSE(finds("on the body", {.memory_bytes = std::size_t{512} * 1024 * 1024}));
}

// Failure: a file is edited that is older than the version in force, and takes other changes back.
TEST_F(configuration_check_test, differences_from_the_version_in_force) {
    auto next = c;
    next.version = 8;
    next.routes.front().entry.timeout = 10s;
    next.workspaces.front().entry.api_keys = {"secret-2", "secret-3"};
    next.services.push_back({service{.id = base::service_id{"new"}}, {}});
    next.services.front().entry.warmup = warmup{3s, 10};
    std::string text;
    const auto differences = compare(c, next);
    for (const auto& d : differences) {
        text += d.entry + "|" + d.field + "|" + d.before + "|" + d.after + "\n";
    }
    EXPECT_EQ(text,
              "route a.example/chat/|timeout|15000 ms|10000 ms\n"
              "service llm|warm-up|none|3000 ms at 10 requests/s\n"
              "service new|||present\n"
              "workspace north|API keys|1 removed|2 added\n");
    EXPECT_TRUE(check_version_order(c, next, true).empty());
    next.version = 7;
    ASSERT_EQ(check_version_order(c, next, true).size(), 1U);
    EXPECT_EQ(check_version_order(c, next, true).front().severity, finding_severity::warning);
    EXPECT_TRUE(check_version_order(c, next, false).empty());
    next.version = 6;
    ASSERT_EQ(check_version_order(c, next, true).size(), 1U);
    EXPECT_EQ(check_version_order(c, next, true).front().severity, finding_severity::error);
}

}  // namespace
}  // namespace chicorygap::catalog
