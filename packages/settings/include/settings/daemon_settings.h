/// @file
/// Settings of one daemon. docs/daemon-settings.md describes every key.
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

struct resource_limits {
    std::uint32_t max_connections = 0;  ///< callers' connections, one thread each.
    std::size_t thread_stack_bytes = 0;
    std::size_t memory_limit_bytes = 0;
    std::size_t max_header_bytes = 0;  ///< request head.
    std::size_t max_body_bytes = 0;    ///< request body.

    bool operator==(const resource_limits&) const = default;
};

struct daemon_timeouts {
    base::duration caller_header{};  ///< until a request head is complete.
    base::duration caller_idle{};    ///< between requests on one connection.
    base::duration caller_write{};
    base::duration platform{};  ///< each call to the platform.
    base::duration platform_watch{};
    base::duration peer{};  ///< each message to a peer.

    bool operator==(const daemon_timeouts&) const = default;
};

/// A backend server given in the settings, for set-ups without a platform server list.
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

struct daemon_settings {
    base::vm_id vm;
    base::zone_id zone;
    net::address callers;
    net::address operators;
    net::address peers;
    std::vector<net::address> seeds;       ///< peers to contact first; may be empty.
    std::optional<net::address> platform;  ///< absent: documents come from `document_files`.
    std::vector<std::string> document_files;
    base::log_level log_level = base::log_level::info;
    resource_limits limits;
    daemon_timeouts timeouts;
    base::duration drain_delay{};    ///< time for the load balancer to notice that the daemon is not ready.
    base::duration drain_timeout{};  ///< longest wait for running requests.
    std::vector<static_server> servers;

    bool operator==(const daemon_settings&) const = default;
};

struct parse_result {
    std::optional<daemon_settings> settings;
    std::vector<document::fault> faults;
};

/// Reads and validates daemon settings.
/// @param text INI text.
/// @param file name used in faults.
/// @return the settings, or all faults found.
parse_result parse(const std::string& text, const std::string& file);

/// Reads a settings file.
/// @throws base::error with `settings_invalid` when the file cannot be read or has faults.
daemon_settings load(const std::string& path);

}  // namespace chicorygap::settings
