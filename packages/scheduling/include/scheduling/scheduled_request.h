/// @file
/// Properties of a request that the scheduler uses.
#pragma once

#include "base/id.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace chicorygap::scheduling {

/// Identifies a request within this process.
enum class local_request_id : std::uint64_t { none = 0 };

/// Part of a prompt that prompts of other requests may have in common.
struct prefix_part {
    std::uint64_t id = 0;
    std::int64_t tokens = 0;

    bool operator==(const prefix_part&) const = default;
};

/// Demand of a text generation on its server.
struct generation_requirements {
    std::int64_t prompt_tokens = 0;
    /// Expected length of the output, at most the caller's limit.
    std::int64_t output_tokens = 0;
    /// Parts of the prompt in order; the last one belongs to this request or its session.
    std::vector<prefix_part> parts;
    /// Maximum time between two events of the stream, if the route sets one.
    std::optional<base::duration> max_token_gap;

    /// @return KV cache tokens that the request occupies at its end.
    [[nodiscard]] std::int64_t kv_cache_tokens() const noexcept { return prompt_tokens + output_tokens; }
};

/// A request that waits for a server or runs on one.
struct scheduled_request {
    local_request_id id = local_request_id::none;
    /// Rank in the start order; 0 starts first.
    std::uint8_t priority_rank = 0;
    base::workspace_id workspace;
    /// The request may run again after a failure with unknown outcome.
    bool idempotent = false;
    /// Absent for plain services.
    std::optional<generation_requirements> generation;
    base::time_point arrived;
    /// Time at which the target latency of the request ends.
    base::time_point target_at;
    /// Time after which the caller no longer waits for a response.
    base::time_point deadline;
    /// Bytes of the request and of its expected answer, which a server in another zone receives and sends.
    std::uint64_t traffic_bytes = 0;

    /// @return time after which the caller of a stream without an event no longer waits for it; the deadline
    /// of other requests. Callers give a stream up after two seconds, four times its target latency or eight
    /// times its maximum token gap without an event, whichever is longest.
    [[nodiscard]] base::time_point first_event_deadline() const;
};

}  // namespace chicorygap::scheduling
