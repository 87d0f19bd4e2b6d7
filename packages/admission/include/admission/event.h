/// @file
/// Input events of the admission controller.
#pragma once

#include "admission/policy.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace chicorygap::admission {

/// A new request.
struct arrival {
    base::request_id id;
    base::class_id service_class;
    base::workspace_id workspace;
    std::int64_t prompt_tokens = 0;
    /// Limit on the output length set by the caller, if any.
    std::optional<std::int64_t> max_output_tokens;
    /// Latest start time. The request is rejected if it cannot start by then.
    base::time_point deadline = base::time_point::max();
    /// True if an interrupted request can be resumed on another server; only such requests are preempted.
    bool resumable = true;
};

/// A running request has produced output. `output_tokens` is the total since the first token of the request,
/// including output before a preemption.
struct progress {
    base::request_id id;
    std::int64_t output_tokens = 0;
};

/// A running request has ended and released its slot. Unknown ids are ignored.
struct finished {
    base::request_id id;
    std::int64_t output_tokens = 0;
    /// Time for which the request occupied its slot; zero if it is not a valid sample (failed attempts).
    base::duration service_time{};
};

/// No backend server accepted a started request. The request returns to the head of its queue. Until the next
/// `capacity_changed`, the number of slots is limited to the requests that are still running.
struct placement_failed {
    base::request_id id;
};

/// The caller has cancelled the request or disconnected. A queued request is removed; a running request
/// releases its slot.
struct cancelled {
    base::request_id id;
};

/// The number of requests that may run at once has changed. It includes the requests already running.
struct capacity_changed {
    int slots = 0;
};

/// The pressure level of the peers: the lowest tier that every reachable peer still admits. Valid until the
/// next event of this type, at most 5 s.
struct pressure_changed {
    base::tier lowest_admitted_tier;
};

/// The fraction of a workspace's fleet-wide limits that this daemon may use has changed. The range is 0 to 1.
struct limit_share_changed {
    base::workspace_id workspace;
    double share = 1;
};

/// The policy in the service document has changed.
struct policy_changed {
    policy value;
};

/// Periodic event, expected at least every 100 ms. Rejects expired requests, advances the capacity ramp and
/// preempts running requests in favour of queued ones whose deadline is close.
struct tick {};

using event = std::variant<arrival, progress, finished, placement_failed, cancelled, capacity_changed,
                           pressure_changed, limit_share_changed, policy_changed, tick>;

}  // namespace chicorygap::admission
