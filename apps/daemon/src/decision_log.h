/// @file
/// Log lines of the decisions on requests and servers.
#pragma once

#include "base/time.h"

#include <optional>
#include <string_view>

namespace chicorygap::backpressure {
struct server_status;
}

namespace chicorygap::crash_guard {
struct part_status;
}

namespace chicorygap::proxy {
struct request_record;
}

namespace chicorygap::daemon_app {

/// @return the duration in whole milliseconds, for fields of log lines.
[[nodiscard]] long long to_ms(base::duration d);

/// Logs the end of a request.
/// @param configuration_age time since the configuration was last confirmed; absent before the first one.
void log_request(const proxy::request_record& r, std::optional<base::duration> configuration_age);

/// Logs that a part of prompts was quarantined or released.
/// @param source origin of the decision.
void log_part_decision(const crash_guard::part_status& s, std::string_view source);

/// Logs a change of what a server says of itself.
/// @param source "server" or "peer".
void log_server_signals(const backpressure::server_status& s, std::string_view source);
/// Logs that a server was found to be cold.
void log_cold_server(const backpressure::server_status& s);

}  // namespace chicorygap::daemon_app
