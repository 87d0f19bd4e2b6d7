/// @file
/// Input events of the admission controller.
#pragma once

#include "admission/policy.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace chicorygap::admission {

/// A request asks to be run.
struct arrival {
    base::request_id id;
    base::class_id service_class;
    base::workspace_id workspace;
    std::int64_t prompt_tokens = 0;
    /// Upper bound that the caller put on the output, if any.
    std::optional<std::int64_t> max_output_tokens;
    /// Latest useful start. The request is refused when it cannot start by then.
    base::time_point deadline = base::time_point::max();
    /// True when a stopped run can continue elsewhere; only such requests are preempted.
    bool resumable = true;
};

/// A running request has produced output. `output_tokens` counts from the first token of the request.
struct progress {
    base::request_id id;
    std::int64_t output_tokens = 0;
};

/// A running request has ended and its slot is free. Unknown ids are ignored.
struct finished {
    base::request_id id;
    std::int64_t output_tokens = 0;
    /// Time for which the request held its slot; zero when it gives no information (failed attempts).
    base::duration service_time{};
};

/// A running request could not be placed on a backend server; it returns to the head of its queue. Nothing
/// starts beyond the running requests until the next `capacity_changed`.
struct placement_failed {
    base::request_id id;
};

/// The caller has left. A queued request is removed, a running one releases its slot.
struct cancelled {
    base::request_id id;
};

/// Number of requests that may run at once, including those already running.
struct capacity_changed {
    int slots = 0;
};

/// Lowest tier that every reachable peer still admits. Valid until the next such event, at most 5 s.
struct pressure_changed {
    base::tier lowest_admitted_tier;
};

/// Part of a workspace's fleet-wide limits that this daemon may use, from 0 to 1.
struct limit_share_changed {
    base::workspace_id workspace;
    double share = 1;
};

/// The service document has a new policy.
struct policy_changed {
    policy value;
};

/// Periodic event, expected at least every 100 ms: removes expired work and advances the ramp.
struct tick {};

using event = std::variant<arrival, progress, finished, placement_failed, cancelled, capacity_changed,
                           pressure_changed, limit_share_changed, policy_changed, tick>;

}  // namespace chicorygap::admission
