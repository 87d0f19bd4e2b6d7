/// @file
/// What daemons tell each other about the signals of servers.
#pragma once

#include "base/id.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace chicorygap::backpressure {

/// Hash of the id and the incarnation of a server, equal on all daemons. Has 40 bits, which keeps messages
/// small.
using server_key = std::uint64_t;

/// What the fleet knows of the rate limit of one server. Of two statements the newer one counts.
struct limit_record {
    server_key server = 0;
    /// Identifies the statement, so that a daemon recognises its own one when a peer repeats it.
    std::uint32_t statement = 0;
    /// Requests per second that the server last named.
    double rate = 0;
    /// Later responses that named no limit; each of them raises the limit.
    std::uint32_t raises = 0;
    /// Time since the statement was made.
    base::duration age{};

    bool operator==(const limit_record&) const = default;
};

/// Receivers of reports. What each of them was told is kept apart.
enum class audience : std::uint8_t {
    peers,        ///< daemons that divide limits with the sender
    other_zones,  ///< zones of a large fleet, which send nothing to the sender's servers with limits
};

/// What one daemon has observed or was told, and its own demand. Merging records in any order and any number
/// of times gives the same result.
struct signal_report {
    std::vector<limit_record> limits;
    std::vector<server_key> leaving;
    /// Requests per second that callers send to the daemon, by service; only while servers name limits.
    std::map<base::service_id, double> demands;

    [[nodiscard]] bool empty() const noexcept { return limits.empty() && leaving.empty() && demands.empty(); }
    bool operator==(const signal_report&) const = default;
};

}  // namespace chicorygap::backpressure
