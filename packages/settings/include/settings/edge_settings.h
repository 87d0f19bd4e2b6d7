/// @file
/// Settings of an edge daemon, which reads its configuration from the users' platform. docs/edge-settings.md
/// describes every key.
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

/// Settings of the duties: tasks that one daemon of the fleet performs at a time, under a lease.
struct duty_settings {
    base::duration lease_duration{};  ///< time after a renewal until the lease expires
    base::duration usage_window{};    ///< length of a usage window
    /// Time after the end of a window within which its usage must be reported.
    base::duration usage_report_deadline{};
    double max_calls_per_s = 0;  ///< rate limit of the fleet for calls of duties; 0 if the key has no value

    bool operator==(const duty_settings&) const = default;
};

/// Retry budget of the fleet.
struct retry_budget {
    double ratio = 0;          ///< retries per request of a caller
    double extra_retries = 0;  ///< retries per window in addition to those of `ratio`
    base::duration window{};   ///< time over which requests and retries are counted

    bool operator==(const retry_budget&) const = default;
};

/// Requests that a cold server may get above what its service says that it takes.
struct cold_server_bounds {
    double overage = 0;  ///< factor on the requests per second
    double slack = 0;    ///< requests in addition to these

    bool operator==(const cold_server_bounds&) const = default;
};

/// Settings of an edge daemon.
struct edge_settings {
    base::vm_id vm;
    base::zone_id zone;
    base::log_level log_level = base::log_level::info;
    net::address callers;             ///< listen address for callers
    net::address readiness;           ///< listen address for readiness checks
    net::address operators;           ///< listen address for metrics and for documents that peers read
    net::address peers;               ///< listen address for datagrams of peers
    std::vector<net::address> seeds;  ///< operator addresses of other daemons; may be outdated
    net::address store;               ///< object store of the platform
    /// Interface for usage reports and capacity requests; absent if the deployment has no duties.
    std::optional<net::address> cloud_api;
    /// Names of the optional behaviours of the platform that hold in this deployment; unknown ones are
    /// ignored.
    std::vector<std::string> contracts;
    double processor_share = 1;  ///< CPU cores available to this VM; may be a fraction
    double link_mbits = 0;       ///< speed of this VM's network link in Mbit/s; 0 if unknown
    std::size_t memory_limit_bytes = 0;
    std::size_t max_descriptors = 0;  ///< limit on open file descriptors
    base::duration stop_timeout{};    ///< time from SIGTERM until the process is killed
    /// Longest time for which requests may be sent to a server after its shutdown began.
    base::duration drain_time{};
    /// Time within which a new configuration must be in force.
    base::duration configuration_deadline{};
    /// Time within which an evacuated zone must get no more requests; absent if evacuations are not read.
    std::optional<base::duration> evacuation_deadline;
    retry_budget retries;
    /// Bound of the requests to a cold server; absent if there is none.
    std::optional<cold_server_bounds> cold_servers;
    duty_settings duties;
    /// Milliseconds of a caller's wait that one megabyte between zones is worth; absent for no price.
    std::optional<double> zone_byte_price_ms_per_mb;
    bool requests_capacity = false;  ///< performs autoscaling while it holds the lease of the duties
    bool reports_usage = false;      ///< reports usage while it holds the lease of the duties

    bool operator==(const edge_settings&) const = default;
};

/// Settings, or the faults of the file.
struct edge_parse_result {
    std::optional<edge_settings> settings;  ///< absent if there are faults
    std::vector<document::fault> faults;
};

/// Parses and validates the settings of an edge daemon.
/// @param text INI text.
/// @param file file name that faults report.
/// @return the settings, or all faults found.
edge_parse_result parse_edge(const std::string& text, const std::string& file);

/// Reads, parses and validates a settings file.
/// @throws base::error with `settings_invalid` when the file cannot be read or has faults.
edge_settings load_edge(const std::string& path);

}  // namespace chicorygap::settings
