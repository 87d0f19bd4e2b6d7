/// @file
/// Settings of a daemon that takes its documents from the users' platform. docs/edge-settings.md describes
/// every key.
#pragma once

#include "base/id.h"
#include "base/log.h"
#include "base/time.h"
#include "document/fault.h"
#include "net/address.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::settings {

/// Times of the duties that one daemon of the fleet holds at a time.
struct duty_times {
    base::duration lease_length{};  ///< longest time without a renewal
    base::duration usage_window{};  ///< length of a usage window
    base::duration usage_due{};     ///< after the end of a window its usage is due
    double calls_per_s = 0;         ///< duty calls that the fleet may make

    bool operator==(const duty_times&) const = default;
};

/// Fleet-wide bounds on repeated sends.
struct retry_bounds {
    double ratio = 0;      ///< repeated sends per request of a caller
    double allowance = 0;  ///< further repeated sends in a window
    base::duration window{};

    bool operator==(const retry_bounds&) const = default;
};

struct edge_settings {
    base::vm_id vm;
    base::zone_id zone;
    base::log_level log_level = base::log_level::info;
    net::address callers;
    net::address readiness;
    net::address operators;           ///< metrics, and documents for peers
    net::address peers;               ///< datagrams of peers
    std::vector<net::address> seeds;  ///< operator addresses of other daemons; may be stale
    net::address store;
    std::optional<net::address> orders;  ///< usage reports and server orders; absent if there are none
    double processor_share = 1;          ///< part of a core that this VM has
    std::size_t memory_bytes = 0;
    std::size_t descriptors = 0;
    base::duration stop_time{};   ///< from SIGTERM until the process is killed
    base::duration drain_time{};  ///< a leaving server gets requests no longer than this
    retry_bounds retries;
    duty_times duties;
    bool orders_servers = false;
    bool reports_usage = false;

    bool operator==(const edge_settings&) const = default;
};

struct edge_parse_result {
    std::optional<edge_settings> settings;
    std::vector<document::fault> faults;
};

/// Reads and validates the settings.
/// @param text INI text.
/// @param file name used in faults.
edge_parse_result parse_edge(const std::string& text, const std::string& file);

/// Reads a settings file.
/// @throws base::error with `settings_invalid` when the file cannot be read or has faults.
edge_settings load_edge(const std::string& path);

}  // namespace chicorygap::settings
