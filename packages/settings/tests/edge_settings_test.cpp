#include "settings/edge_settings.h"

#include "base/error.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <string>

namespace chicorygap::settings {
namespace {

using namespace std::chrono_literals;

const std::string sample = R"([daemon]
vm = edge-1
zone = a
[listen]
callers = 10.1.0.2:8740
readiness = 10.1.0.2:8749
operators = 10.1.0.2:8748
peers = 10.1.0.2:7200
[fleet]
seeds = 10.1.0.3:8748,10.1.0.4:8748
[platform]
store = 10.2.0.1:8742
orders = 10.2.0.2:8742
[limits]
processor_share = 0.25
link_mbits = 10
memory_mib = 110
descriptors = 4100
[times]
stop_seconds = 8
drain_milliseconds = 2000
configuration_milliseconds = 4000
[retries]
ratio = 0.2
allowance = 54
window_seconds = 10
[duties]
lease_milliseconds = 3000
usage_window_seconds = 5
usage_due_seconds = 10
calls_per_second = 50
held = usage,autoscale
)";

std::string replace_in_sample(const std::string& from, const std::string& to) {
    auto text = sample;
    text.replace(text.find(from), from.size(), to);
    return text;
}

std::string faults_of(const std::string& text) {
    return document::to_string(parse_edge(text, "e.ini").faults);
}

// Settings files of earlier releases lack the key, and a template may leave it empty.
TEST(edge_settings, configuration_deadline_has_a_default) {
    for (const auto* line : {"", "configuration_milliseconds =\n"}) {
        const auto r = parse_edge(replace_in_sample("configuration_milliseconds = 4000\n", line), "e.ini");
        ASSERT_TRUE(r.settings) << document::to_string(r.faults);
        EXPECT_EQ(r.settings->configuration_deadline, base::duration{2s});
    }
}

// A platform without evacuations does not know the kind, and a daemon that reads it would never be ready.
TEST(edge_settings, evacuations_are_read_only_if_their_bound_is_set) {
    EXPECT_FALSE(parse_edge(sample, "e.ini").settings->evacuation_deadline);
    const std::string line = "drain_milliseconds = 2000\n";
    const auto with = [&](const std::string& value) {
        const auto r =
            parse_edge(replace_in_sample(line, line + "evacuation_milliseconds =" + value + "\n"), "e.ini");
        EXPECT_TRUE(r.settings) << document::to_string(r.faults);
        return r.settings ? r.settings->evacuation_deadline : std::nullopt;
    };
    EXPECT_EQ(with(""), std::nullopt);
    EXPECT_EQ(with(" 5000"), std::optional<base::duration>{5s});
}

// Guards against a limit in deployments that name none, or whose template is filled in partly.
TEST(edge_settings, bound_of_cold_servers_needs_both_keys) {
    const auto bound_of = [](const std::string& keys) {
        return parse_edge(sample + "[servers]\n" + keys, "e.ini").settings.value().cold_servers;
    };
    EXPECT_EQ(bound_of("cold_overage = 1.5\ncold_slack = 5\n"), (cold_server_bounds{1.5, 5}));
    EXPECT_EQ(bound_of("cold_overage =\ncold_slack = 5\n"), std::nullopt);
    EXPECT_EQ(bound_of("cold_overage = 1.5\n"), std::nullopt);
    EXPECT_EQ(parse_edge(sample, "e.ini").settings.value().cold_servers, std::nullopt);
}

// Guards against deployments that are served differently although they name no price of the bytes.
TEST(edge_settings, price_of_bytes_between_zones_is_optional) {
    for (const auto* section : {"", "[zones]\n", "[zones]\nbyte_price_ms_per_mb =\n"}) {
        const auto r = parse_edge(sample + section, "e.ini");
        ASSERT_TRUE(r.settings) << document::to_string(r.faults);
        EXPECT_FALSE(r.settings->zone_byte_price_ms_per_mb);
    }
    const auto r = parse_edge(sample + "[zones]\nbyte_price_ms_per_mb = 150\n", "e.ini");
    ASSERT_TRUE(r.settings) << document::to_string(r.faults);
    EXPECT_EQ(r.settings->zone_byte_price_ms_per_mb, 150);
    EXPECT_NE(faults_of(sample + "[zones]\nbyte_price_ms_per_mb = -1\n").find("byte_price"),
              std::string::npos);
}

// A template leaves the key empty where the deployment has no contracts; older templates lack it.
TEST(edge_settings, contracts_are_optional) {
    EXPECT_TRUE(parse_edge(sample, "e.ini").settings->contracts.empty());
    const auto with = [](const std::string& value) {
        return parse_edge(replace_in_sample("[limits]", "contracts = " + value + "\n[limits]"), "e.ini");
    };
    ASSERT_TRUE(with("").settings);
    EXPECT_TRUE(with("").settings->contracts.empty());
    ASSERT_TRUE(with("pressure,later").settings);
    EXPECT_EQ(with("pressure,later").settings->contracts, (std::vector<std::string>{"pressure", "later"}));
}

TEST(edge_settings, reads_all_sections) {
    const auto r = parse_edge(sample, "e.ini");
    ASSERT_TRUE(r.settings) << document::to_string(r.faults);
    const auto& s = *r.settings;
    EXPECT_EQ(s.vm.str(), "edge-1");
    EXPECT_EQ(net::to_string(s.readiness), "10.1.0.2:8749");
    EXPECT_EQ(s.seeds.size(), 2U);
    EXPECT_EQ(s.processor_share, 0.25);
    EXPECT_EQ(s.link_mbits, 10);
    EXPECT_EQ(s.memory_limit_bytes, std::size_t{110} * 1024 * 1024);
    EXPECT_EQ(s.drain_time, base::duration{2s});
    EXPECT_EQ(s.configuration_deadline, base::duration{4s});
    EXPECT_EQ(s.retries.window, base::duration{10s});
    EXPECT_EQ(s.duties.lease_duration, base::duration{3s});
    EXPECT_TRUE(s.requests_capacity);
    EXPECT_TRUE(s.reports_usage);
}

// A deployment without duties has no address for usage reports and capacity requests.
TEST(edge_settings, accepts_missing_cloud_api_address) {
    const auto r = parse_edge(replace_in_sample("orders = 10.2.0.2:8742\n", ""), "e.ini");
    ASSERT_TRUE(r.settings);
    EXPECT_FALSE(r.settings->cloud_api);
}

// Failure: the platform's template has no seeds, no duties or no rate limit to fill in. Guards against a
// daemon that does not start because of the empty values.
TEST(edge_settings, treats_empty_values_as_absent) {
    EXPECT_EQ(faults_of(replace_in_sample("seeds = 10.1.0.3:8748,10.1.0.4:8748", "seeds =")), "");
    EXPECT_EQ(faults_of(replace_in_sample("held = usage,autoscale", "held =")), "");
    EXPECT_EQ(faults_of(replace_in_sample("calls_per_second = 50", "calls_per_second =")), "");
    EXPECT_NE(faults_of(replace_in_sample("seeds = 10.1.0.3:8748,10.1.0.4:8748", "seeds = 10.1.0.3:8748,,"))
                  .find("empty item"),
              std::string::npos);
}

// Guards against a daemon that starts with a wrong value or with a default instead of a required value.
TEST(edge_settings, reports_key_and_reason_of_each_fault) {
    EXPECT_NE(faults_of(replace_in_sample("store = 10.2.0.1:8742", "store = store.example:80"))
                  .find("IP address and port"),
              std::string::npos);
    EXPECT_NE(
        faults_of(replace_in_sample("store = 10.2.0.1:8742", "store = 10.2.0.1:0")).find("is not an address"),
        std::string::npos);
    EXPECT_NE(faults_of(replace_in_sample("memory_mib = 110\n", "")).find("memory_mib"), std::string::npos);
    EXPECT_NE(faults_of(replace_in_sample("ratio = 0.2", "ratio = much")).find("ratio"), std::string::npos);
    EXPECT_NE(faults_of(replace_in_sample("zone = a", "colour = red")).find("colour: unknown key"),
              std::string::npos);
    EXPECT_NE(
        faults_of(replace_in_sample("processor_share = 0.25", "processor_share = 0")).find("processor_share"),
        std::string::npos);
}

TEST(edge_settings, throws_if_file_cannot_be_read) {
    EXPECT_THROW(load_edge("/nowhere/edge.ini"), base::error);
}

}  // namespace
}  // namespace chicorygap::settings
