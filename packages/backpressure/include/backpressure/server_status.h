/// @file
/// State of one server's signals for logs, metrics and operators.
#pragma once

#include "base/id.h"
#include "base/time.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace chicorygap::backpressure {

/// What a daemon knows of the signals of one server.
struct server_status {
    base::backend_server_id server;
    base::service_id service;
    /// Requests per second that the fleet may send to the server; absent without a limit.
    std::optional<double> limit;
    /// Requests per second that the server last named.
    double named_limit = 0;
    /// Requests per second of the limit that this daemon may send.
    double share = 0;
    /// Daemons among which the limit is divided.
    std::size_t daemons = 0;
    /// Time since the last response that tells about the limit.
    base::duration limit_age{};
    /// Remaining time for which the server wants no requests from this daemon.
    base::duration wait{};
    bool leaving = false;
    /// Remaining time for which the server counts as cold; 0 if it does not.
    base::duration cold{};
    /// Requests per second that the fleet sends to the cold server at most.
    double cold_limit = 0;
    /// Starts per second that this daemon may make on the cold server.
    double cold_share = 0;
    /// Daemons that send to the cold server.
    std::size_t cold_daemons = 0;
    /// What says that the server is cold.
    std::string_view cold_source;
};

}  // namespace chicorygap::backpressure
