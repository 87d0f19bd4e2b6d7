/// @file
/// Settings of a gateway daemon. docs/daemon-settings.md describes every key.
#pragma once

#include "base/id.h"
#include "base/log.h"
#include "base/time.h"
#include "document/fault.h"
#include "net/address.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::settings {

/// Limits on the resources of a daemon.
struct resource_limits {
    std::uint32_t max_connections = 0;  ///< open connections of callers, one thread each.
    std::size_t thread_stack_bytes = 0;
    std::size_t memory_limit_bytes = 0;
    std::size_t max_header_bytes = 0;  ///< request line and header fields.
    std::size_t max_body_bytes = 0;    ///< request body.

    bool operator==(const resource_limits&) const = default;
};

/// Timeouts of connections and calls.
struct daemon_timeouts {
    base::duration caller_header{};   ///< until the header of a request is complete.
    base::duration caller_idle{};     ///< between two requests on a persistent connection.
    base::duration caller_write{};    ///< each write of response data.
    base::duration platform{};        ///< each call to the platform.
    base::duration platform_watch{};  ///< long-poll wait of a watch call.
    base::duration peer{};            ///< each message to a peer.

    bool operator==(const daemon_timeouts&) const = default;
};

/// Backend server that is listed in the settings, for deployments without a server list of the platform.
struct static_server {
    base::backend_server_id id;
    base::service_id service;
    base::zone_id zone;
    net::address address;
    std::string kind;
    bool reclaimable = false;
    std::uint32_t slots = 0;

    bool operator==(const static_server&) const = default;
};

/// Settings of a gateway daemon.
struct daemon_settings {
    base::vm_id vm;
    base::zone_id zone;
    net::address callers;
    net::address operators;
    net::address peers;
    std::vector<net::address> seeds;       ///< peers that the daemon contacts at start; may be empty.
    std::optional<net::address> platform;  ///< if absent, documents are read from `document_files`.
    std::vector<std::string> document_files;
    base::log_level log_level = base::log_level::info;
    resource_limits limits;
    daemon_timeouts timeouts;
    base::duration drain_delay{};    ///< time for the load balancer to detect that the daemon is not ready.
    base::duration drain_timeout{};  ///< longest wait for running requests during a shutdown.
    std::vector<static_server> servers;

    bool operator==(const daemon_settings&) const = default;
};

/// Settings, or the faults of the file.
struct parse_result {
    std::optional<daemon_settings> settings;  ///< absent if there are faults.
    std::vector<document::fault> faults;
};

/// Parses and validates daemon settings.
/// @param text INI text.
/// @param file file name that faults report.
/// @return the settings, or all faults found.
parse_result parse(const std::string& text, const std::string& file);

/// Reads, parses and validates a settings file.
/// @throws base::error with `settings_invalid` when the file cannot be read or has faults.
daemon_settings load(const std::string& path);

}  // namespace chicorygap::settings
