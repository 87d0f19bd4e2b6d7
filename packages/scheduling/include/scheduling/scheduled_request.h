/// @file
/// One request as the scheduler sees it.
#pragma once

#include "base/id.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace chicorygap::scheduling {

/// Names one request within this process.
enum class local_request_id : std::uint64_t { none = 0 };

/// Part of a prompt that other requests may share.
struct prefix_part {
    std::uint64_t id = 0;
    std::int64_t tokens = 0;

    bool operator==(const prefix_part&) const = default;
};

/// What a generation needs of its server.
struct generation_requirements {
    std::int64_t prompt_tokens = 0;
    /// Expected length of the answer; the caller's limit bounds it.
    std::int64_t output_tokens = 0;
    /// Parts of the prompt in order; the last one belongs to this request or its session.
    std::vector<prefix_part> parts;
    /// Longest pause between two events that is on time, if the route names one.
    std::optional<base::duration> max_token_gap;

    /// @return tokens that the request takes of a server's memory at its end.
    [[nodiscard]] std::int64_t kv_cache_tokens() const noexcept { return prompt_tokens + output_tokens; }
};

/// A request that waits for a server or runs on one.
struct scheduled_request {
    local_request_id id = local_request_id::none;
    /// Rank of the request; 0 starts first.
    std::uint8_t priority_rank = 0;
    base::workspace_id workspace;
    /// May run again after a failure that leaves its outcome unknown.
    bool idempotent = false;
    /// Absent for plain services.
    std::optional<generation_requirements> generation;
    base::time_point arrived;
    /// Time until which an answer is on time.
    base::time_point target_at;
    /// Time after which the caller does not wait any more.
    base::time_point deadline;
};

}  // namespace chicorygap::scheduling
