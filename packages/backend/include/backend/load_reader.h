/// @file
/// Reads a backend server's own load report.
#pragma once

#include "backend/backend_request.h"
#include "base/time.h"

#include <optional>

namespace chicorygap::backend {

/// Content of GET /load.
struct load_report {
    int running = 0;
    int queued = 0;
    /// Time between the measurement on the server and its answer.
    base::duration age{};
};

/// Reads GET /load on a new connection, because an idle pooled connection may have stalled silently.
/// @param server address.
/// @param timeout limit for connect, send and receive each.
/// @return the report, or nothing if the server does not answer in time or has no such report.
std::optional<load_report> read_load(const endpoint& server, base::duration timeout);

}  // namespace chicorygap::backend
