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
struct duty_settings {
    base::duration lease_duration{};         ///< longest time without a renewal
    base::duration usage_window{};           ///< length of a usage window
    base::duration usage_report_deadline{};  ///< after the end of a window its usage is due
    double max_calls_per_s = 0;              ///< duty calls that the fleet may make

    bool operator==(const duty_settings&) const = default;
};

/// Fleet-wide bounds on repeated sends.
struct retry_budget {
    double ratio = 0;          ///< repeated sends per request of a caller
    double extra_retries = 0;  ///< further repeated sends in a window
    base::duration window{};

    bool operator==(const retry_budget&) const = default;
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
    std::optional<net::address> cloud_api;  ///< usage reports and server orders; absent if there are none
    double processor_share = 1;             ///< part of a core that this VM has
    std::size_t memory_limit_bytes = 0;
    std::size_t max_descriptors = 0;
    base::duration stop_timeout{};  ///< from SIGTERM until the process is killed
    base::duration drain_time{};    ///< a leaving server gets requests no longer than this
    retry_budget retries;
    duty_settings duties;
    bool requests_capacity = false;
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
