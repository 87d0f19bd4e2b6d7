/// @file
/// What a server tells its callers about its load and lifetime.
#pragma once

#include "base/time.h"

#include <optional>

namespace chicorygap::backpressure {

/// What a server says of itself in the head of one response, whatever the outcome of the request.
struct server_signals {
    /// Requests per second that the server takes from all daemons together; at least 0.
    std::optional<double> rate_limit;
    /// Time for which the server wants no requests from this daemon.
    std::optional<base::duration> retry_after;
    /// The server is about to stop.
    bool leaving = false;
    /// Time for which the server stays cold; 0 if it says that it is not.
    std::optional<base::duration> cold;

    bool operator==(const server_signals&) const = default;
};

}  // namespace chicorygap::backpressure
