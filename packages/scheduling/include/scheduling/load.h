/// @file
/// Load that one daemon puts on a server.
#pragma once

#include "base/id.h"
#include "base/time.h"

#include <cstdint>
#include <vector>

namespace chicorygap::scheduling {

/// Load that one daemon puts on one server.
struct server_load {
    base::backend_server_id server;
    std::uint32_t running = 0;
    /// Memory of the running generations, with the output that is still expected.
    std::int64_t kv_cache_tokens = 0;
    /// Prompt tokens that the server has yet to read.
    std::int64_t pending_prefill_tokens = 0;
    /// Prompt tokens that the server lately had to read for the sender's requests, per second.
    std::uint32_t prefill_tokens_per_s = 0;
    /// The server said a moment ago that requests queue there.
    bool queue_reported = false;

    bool operator==(const server_load&) const = default;
};

/// Load of one daemon on all servers of a service, for its peers.
struct load_report {
    std::vector<server_load> servers;
    /// Requests that wait for a server.
    std::uint32_t waiting = 0;
    /// Running generations with short prompts, whose streams the reading of long ones interrupts.
    std::uint32_t short_prompt_streams = 0;
    /// Prompt tokens that servers read in a millisecond, as the sender measured it; 0 if it did not.
    float prefill_tokens_per_ms = 0;
    /// The sender saw streams that were late for pauses; long prompts are to be kept apart.
    bool token_gaps_exceeded = false;

    /// @return prompt tokens a second on all servers.
    [[nodiscard]] double prefill_tokens_per_s() const;

    bool operator==(const load_report&) const = default;
};

/// @param age time since a queue of prompts was seen.
/// @return part of the queue that is still there: prompts are read within some hundred milliseconds.
double remaining_queue_fraction(base::duration age);

/// Adds a report to a sum over several daemons.
/// @param age time since the report was made; its queues count less.
void add_load(load_report& sum, const load_report& r, base::duration age);

}  // namespace chicorygap::scheduling
