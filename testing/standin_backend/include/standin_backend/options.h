/// @file
/// Settings of the stand-in backend server.
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace chicorygap::standin_backend {

/// Service model and behaviour of the stand-in. The defaults answer fast, for tests.
struct options {
    std::string host = "127.0.0.1";
    /// 0 selects a free port.
    std::uint16_t port = 0;
    /// Connections served at the same time.
    int threads = 256;
    std::string model = "standin";

    /// Requests in the running batch.
    std::size_t slots = 8;
    /// Requests that may wait for a slot; further ones are refused as not run.
    std::size_t queue = 1000;
    /// Time to the first token of an empty prompt.
    base::duration first_token{};
    /// Additional time to the first token for each prompt token.
    base::duration prefill_per_token{};
    /// Time per output token while the batch holds one request.
    base::duration token_time{};
    /// Growth of the time per token when the batch is full: 1 doubles it.
    double load_factor = 0;
    /// Output tokens of a request without `max_tokens`.
    std::uint64_t default_tokens = 16;

    /// Prompt prefixes kept in the cache; a cached prefix takes a tenth of its prefill time.
    std::size_t cached_prefixes = 64;
    /// Every n-th cache event is lost; 0 loses none.
    std::uint64_t cache_event_gap = 0;
    /// Delay of /load and /cache-events.
    base::duration report_lag{};

    /// Rejects orders whose fencing token is lower than the highest one seen.
    bool check_fencing = true;
    /// Duration of a plain call.
    base::duration plain_time{};
};

}  // namespace chicorygap::standin_backend
