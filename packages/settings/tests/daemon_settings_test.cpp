#include "settings/daemon_settings.h"

#include "base/error.h"

#include <gtest/gtest.h>

namespace chicorygap::settings {
namespace {

using namespace std::chrono_literals;

const std::string sample =
    "[daemon]\nvm = vm-1\nzone = zone-a\n"
    "[listen]\ncallers = 127.0.0.1:8080\noperators = 127.0.0.1:8081\npeers = 127.0.0.1:8082\n"
    "[peers]\nseeds = 127.0.0.1:8082, 127.0.0.1:9082\n"
    "[platform]\naddress = 127.0.0.1:9100\n"
    "[drain]\ndelay = 3s\nlimit = 1min\n"
    "[backend_server engine-1]\nservice = assistant\naddress = [::1]:9200\nslots = 16\n";

std::string faults_after(const std::string& from, const std::string& to) {
    auto text = sample;
    const auto at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return document::to_string(parse(text.replace(at, from.size(), to), "d.ini").faults);
}

TEST(daemon_settings, applies_defaults_to_missing_keys) {
    // Guards against defaults that differ from docs/daemon-settings.md.
    const auto r = parse(sample, "d.ini");
    ASSERT_EQ(document::to_string(r.faults), "");
    const auto& s = *r.settings;
    EXPECT_EQ(s.vm.str(), "vm-1");
    EXPECT_EQ(s.seeds.size(), 2U);
    EXPECT_EQ(to_string(*s.platform), "127.0.0.1:9100");
    EXPECT_EQ(s.drain_timeout, 1min);
    EXPECT_EQ(s.timeouts.platform, 2s);
    EXPECT_EQ(s.limits.thread_stack_bytes, 256U * 1024U);
    ASSERT_EQ(s.servers.size(), 1U);
    EXPECT_EQ(to_string(s.servers[0].address), "[::1]:9200");
    EXPECT_EQ(s.servers[0].zone.str(), "zone-a");
}

TEST(daemon_settings, reports_conflicting_listen_addresses) {
    // Guards against a daemon that starts partially because its second bind fails.
    EXPECT_EQ(faults_after("operators = 127.0.0.1:8081", "operators = 127.0.0.1:8080"),
              "d.ini:6: [listen] operators: address conflicts with callers = 127.0.0.1:8080");
    EXPECT_EQ(faults_after("peers = 127.0.0.1:8082", "peers = 0.0.0.0:8081"),
              "d.ini:7: [listen] peers: address conflicts with operators = 127.0.0.1:8081");
    EXPECT_EQ(faults_after("callers = 127.0.0.1:8080", "callers = 127.0.0.1:0"), "");
    EXPECT_NE(faults_after("[::1]:9200", "127.0.0.1:8080")
                  .find("address conflicts with a listen address of the daemon"),
              std::string::npos);
}

TEST(daemon_settings, rejects_host_names_and_malformed_addresses) {
    // Guards against a startup that depends on name resolution.
    for (const auto* const bad : {"localhost:80", "127.0.0.1", "127.0.0.1:99999", "::1:80", "127.0.0.1:"}) {
        EXPECT_FALSE(net::parse_address(bad).has_value()) << bad;
    }
    EXPECT_NE(faults_after("127.0.0.1:9100", "platform.local:80").find("IP address and port"),
              std::string::npos);
}

TEST(daemon_settings, reports_all_faults_together) {
    // Guards against a deployment that needs one attempt per fault.
    const auto text = document::to_string(
        parse("[daemon]\nzone = a b\ncolour = red\n[limits]\nconnections = 0\n[lisen]\n", "d.ini").faults);
    for (const auto* const part :
         {"vm: key is missing", "'a b' is not a name", "colour: unknown key",
          "connections: '0' is out of range", "[lisen] unknown section", "callers: key is missing",
          "exactly one source of documents is required"}) {
        EXPECT_NE(text.find(part), std::string::npos) << part << " in\n" << text;
    }
}

TEST(daemon_settings, accepts_example_file) {
    // Guards against an example file that the parser rejects.
    EXPECT_EQ(load(CHICORYGAP_CONFIG_FOLDER "/daemon.example.ini").zone.str(), "booking-a");
}

TEST(daemon_settings, throws_if_file_cannot_be_read) {
    // Guards against a daemon that starts with empty settings.
    EXPECT_THROW(load("/nonexistent/daemon.ini"), base::error);
}

}  // namespace
}  // namespace chicorygap::settings
