/// @file
/// What the scheduler knows about one server.
#pragma once

#include "catalog/backend_server.h"
#include "prefix_cache.h"
#include "scheduling/load.h"
#include "server_health.h"

#include <cstdint>

namespace chicorygap::scheduling {

/// One server with its load from this daemon and its peers.
struct server_state {
    catalog::backend_server info;
    server_load own;
    server_load peers;  ///< sum over all peers
    prefix_cache cache;
    server_health health;
    /// Position from 0 to 1 among the servers of its zone, in an order that all daemons share.
    double position = 0;
    /// Prompt tokens that it reads in a millisecond, learned from first tokens; 0 until one was seen.
    double tokens_per_ms = 0;

    [[nodiscard]] std::uint32_t running() const noexcept { return own.running + peers.running; }
    [[nodiscard]] std::int64_t memory_tokens() const noexcept {
        return own.memory_tokens + peers.memory_tokens;
    }
    [[nodiscard]] std::int64_t unread_tokens() const noexcept {
        return own.unread_tokens + peers.unread_tokens;
    }
};

}  // namespace chicorygap::scheduling
