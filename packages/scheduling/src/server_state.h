/// @file
/// What the scheduler knows about one server.
#pragma once

#include "catalog/backend_server.h"
#include "decaying_rate.h"
#include "leaning_average.h"
#include "prefix_cache.h"
#include "scheduling/load.h"
#include "server_health.h"

#include <cstdint>

namespace chicorygap::scheduling {

/// One server with its load from this daemon and its peers.
struct server_state {
    catalog::backend_server info;
    server_load own;
    /// Sum over all peers. Their unread tokens count less the older the report is.
    server_load peers;
    /// It said that requests queue there; it gets no others until then.
    base::time_point queued_until;
    /// Prompt tokens a second that peers send beyond what their unread tokens show.
    double unseen_tokens_per_s = 0;
    decaying_rate reading;  ///< prompt tokens that it had to read for this daemon
    /// It is in the list since then.
    base::time_point since;
    /// Hash of its id, for orders of servers that all daemons share.
    std::uint64_t id_hash = 0;
    prefix_cache cache;
    server_health health;
    /// Position from 0 to 1 among the servers of its zone, in an order that all daemons share.
    double position = 0;
    /// Prompt tokens that it reads in a millisecond, learned from first tokens.
    leaning_average prefill_tokens_per_ms{leaning_average::side::high};

    [[nodiscard]] std::uint32_t running() const noexcept { return own.running + peers.running; }
    [[nodiscard]] std::int64_t kv_cache_tokens() const noexcept {
        return own.kv_cache_tokens + peers.kv_cache_tokens;
    }
    [[nodiscard]] std::int64_t pending_prefill_tokens() const noexcept {
        return own.pending_prefill_tokens + peers.pending_prefill_tokens;
    }
    /// @return true if it, or a peer, said a moment ago that requests queue there.
    [[nodiscard]] bool has_queue(base::time_point now) const noexcept {
        return peers.queue_reported || now < queued_until;
    }
    /// @return prompt tokens a second that all daemons send it.
    [[nodiscard]] double prefill_tokens_per_s(base::time_point now) const {
        return reading.per_second(now) + peers.prefill_tokens_per_s;
    }
};

}  // namespace chicorygap::scheduling
