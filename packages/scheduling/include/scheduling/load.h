/// @file
/// Load that one daemon puts on a server.
#pragma once

#include "base/id.h"

#include <cstdint>
#include <vector>

namespace chicorygap::scheduling {

/// Load that one daemon puts on one server.
struct server_load {
    base::backend_server_id server;
    std::uint32_t running = 0;
    /// Memory of the running generations, with the output that is still expected.
    std::int64_t memory_tokens = 0;
    /// Prompt tokens that the server has yet to read.
    std::int64_t unread_tokens = 0;

    bool operator==(const server_load&) const = default;
};

/// Load of one daemon on all servers of a service, for its peers.
struct load_report {
    std::vector<server_load> servers;
    /// Requests that wait for a server.
    std::uint32_t waiting = 0;
    /// Prompt tokens that servers had to read for this daemon's requests, per second.
    std::uint32_t prompt_tokens_per_s = 0;

    bool operator==(const load_report&) const = default;
};

}  // namespace chicorygap::scheduling
