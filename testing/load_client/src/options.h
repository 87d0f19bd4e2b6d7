/// @file
/// Command line of the load client.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::load_client {

/// Parsed command line.
struct options {
    /// Caller addresses of the daemons, `host:port`.
    std::vector<std::string> daemons;
    /// Backend stand-ins whose records are checked at the end.
    std::vector<std::string> backends;
    /// Deployments whose mix is sent: "booking", "dispatch" or both.
    std::vector<std::string> deployments;
    /// Sends only orders instead of the whole mix, and prints the counts of orders, runs, double runs and
    /// false "not run" outcomes.
    bool orders_only = false;
    int requests = 400;
    int callers = 16;
    /// Mean time between two requests of one caller.
    base::duration pause = std::chrono::milliseconds{50};
    /// Sends until this time has passed instead of a number of requests; 0 counts requests.
    base::duration length{};
    std::uint64_t seed = 1;
};

/// @return the options, or nothing after a message on standard error.
std::optional<options> parse_options(int argc, char** argv);

}  // namespace chicorygap::load_client
