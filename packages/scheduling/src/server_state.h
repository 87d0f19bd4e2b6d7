/// @file
/// State of one server in the scheduler.
#pragma once

#include "asymmetric_average.h"
#include "backpressure/signal_report.h"
#include "base/decaying_rate.h"
#include "catalog/backend_server.h"
#include "prefill_backlog.h"
#include "prefix_cache.h"
#include "scheduling/load.h"
#include "server_health.h"
#include "shared_load.h"

#include <chrono>
#include <cstdint>

namespace chicorygap::scheduling {

/// Time over which the prefill rate of a server is averaged. Load reports are outdated when they arrive: the
/// server has processed a prefill queue that was reported half a second ago, but the rate at which the queue
/// was filled is still valid.
inline constexpr base::duration prefill_rate_time = std::chrono::seconds{1};

/// One server with its load from this daemon and its peers.
struct server_state {
    catalog::backend_server info;
    server_load local_load;
    /// Sum over all peers. Pending prefill tokens count less the older their report is.
    server_load peer_load;
    /// The server reported a queue; it gets no further requests until this time.
    base::time_point queue_reported_until;
    /// Pace and reported load; changed and used only with `scheduler_options::shared_machines`.
    shared_load shared;
    prefill_backlog backlog;
    /// Time for which the first event of a stream of this daemon on the server is overdue; the longest one.
    base::duration overdue{};
    /// Prompt tokens per second that peers send, weighted by the part that their aged reports of pending
    /// prefill tokens no longer cover.
    double unreported_prefill_tokens_per_s = 0;
    /// Prompt tokens that it had to process for this daemon.
    base::decaying_rate prefill_rate{prefill_rate_time};
    /// Time since which the server is in the server list.
    base::time_point listed_since;
    /// Hash of the server's id, for rankings of servers that are the same on all daemons.
    std::uint64_t id_hash = 0;
    backpressure::server_key signal_key = 0;
    prefix_cache cache;
    server_health health;
    /// Relative position among the servers of its zone, from 0 to 1, in an order that is the same on all
    /// daemons.
    double zone_position = 0;
    /// Prefill speed in tokens per millisecond, measured from the time to first token.
    asymmetric_average prefill_tokens_per_ms{asymmetric_average::bias::high};

    [[nodiscard]] std::uint32_t running() const noexcept { return local_load.running + peer_load.running; }
    [[nodiscard]] std::int64_t kv_cache_tokens() const noexcept {
        return local_load.kv_cache_tokens + peer_load.kv_cache_tokens;
    }
    [[nodiscard]] std::int64_t pending_prefill_tokens() const noexcept {
        return local_load.pending_prefill_tokens + peer_load.pending_prefill_tokens;
    }
    /// @return true if the server may get new requests, as far as its entry and its zone say.
    [[nodiscard]] bool takes_requests() const noexcept { return !info.draining && !info.evacuated; }
    /// @return true if the server or a peer recently reported that requests queue at the server.
    [[nodiscard]] bool has_queue(base::time_point now) const noexcept {
        return peer_load.queue_reported || now < queue_reported_until;
    }
    /// @return prompt tokens per second that all daemons together send to the server.
    [[nodiscard]] double prefill_tokens_per_s(base::time_point now) const {
        return prefill_rate.per_second(now) + peer_load.prefill_tokens_per_s;
    }
};

}  // namespace chicorygap::scheduling
