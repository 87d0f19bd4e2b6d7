/// @file
/// Load reports that daemons exchange.
#pragma once

#include "base/id.h"
#include "base/time.h"

#include <cstdint>
#include <vector>

namespace chicorygap::scheduling {

/// Load from one daemon on one server.
struct server_load {
    base::backend_server_id server;
    std::uint32_t running = 0;
    /// KV cache tokens of the running generations, including the expected output.
    std::int64_t kv_cache_tokens = 0;
    /// Prompt tokens that the server has not processed yet.
    std::int64_t pending_prefill_tokens = 0;
    /// Recent rate of prompt tokens that the server had to process for requests of the sender.
    std::uint32_t prefill_tokens_per_s = 0;
    /// The server recently reported that requests queue there.
    bool queue_reported = false;

    bool operator==(const server_load&) const = default;
};

/// Load from one daemon on all servers of a service, as sent to its peers.
struct load_report {
    std::vector<server_load> servers;
    /// Requests that wait for a server.
    std::uint32_t waiting = 0;
    /// Running generations with short prompts, whose streams the prefill of long prompts delays.
    std::uint32_t short_prompt_streams = 0;
    /// Prefill speed of one server in tokens per millisecond as measured by the sender; 0 if not measured.
    float prefill_tokens_per_ms = 0;
    /// Streams at the sender exceed their token gap limit; long prompts are to be separated from streams.
    bool token_gaps_exceeded = false;

    /// @return prompt tokens per second on all servers.
    [[nodiscard]] double prefill_tokens_per_s() const;

    bool operator==(const load_report&) const = default;
};

/// @param age time since a prefill queue was observed.
/// @return fraction of the queue that is expected to remain; servers process prompts within some hundred
/// milliseconds.
double remaining_queue_fraction(base::duration age);

/// Adds a report to a sum over several daemons.
/// @param sum servers sorted by id.
/// @param age time since the report was made; the older it is, the less its prefill queues count.
void add_load(load_report& sum, const load_report& r, base::duration age);

}  // namespace chicorygap::scheduling
