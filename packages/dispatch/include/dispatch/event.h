/// @file
/// Input events of the dispatcher.
#pragma once

#include "admission/event.h"
#include "base/id.h"
#include "base/result_code.h"
#include "base/time.h"
#include "routing/events.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chicorygap::dispatch {

/// A new request of a caller, already validated.
struct submit_request {
    base::request_id id;
    base::class_id service_class;
    base::workspace_id workspace;
    /// Required model; empty for a plain service.
    std::string model;
    std::int64_t prompt_tokens = 0;
    std::optional<std::int64_t> max_output_tokens;
    /// Latest start time. The request is rejected if it cannot start by then.
    base::time_point start_deadline = base::time_point::max();
    /// Time after which no further attempt starts.
    base::time_point deadline = base::time_point::max();
    /// The request may be executed more than once.
    bool idempotent = true;
    /// The response is a token stream that another backend server can resume.
    bool resumable = false;
    /// Urgent requests use reclaimable backend servers only if no other server has a free slot.
    bool urgent = false;
    /// Hashes of the prompt's prefixes, shortest first.
    std::vector<std::uint64_t> prefixes;
};

/// Output of an attempt was forwarded to the caller.
struct attempt_progress {
    base::request_id request;
    std::uint32_t attempt = 0;
    /// Number of tokens since the previous event of this type for the attempt.
    std::uint64_t tokens = 0;
};

/// An attempt has ended; its connection is no longer in use.
struct attempt_result {
    base::request_id request;
    std::uint32_t attempt = 0;
    base::result_code code = base::result_code::ok;
    /// At least one byte of the request was written to the connection.
    bool sent = true;
    /// Duration of the attempt; used only if the attempt succeeded.
    base::duration service_time{};
};

/// The request must end early because its caller disconnected, its API key was revoked or the drain
/// deadline of the daemon has passed.
struct cancel_request {
    base::request_id request;
    base::result_code code = base::result_code::caller_gone;
};

/// Periodic event, expected every 50 ms.
struct tick {};

/// Events of routing and admission are forwarded to the router and the admission controller.
using event =
    std::variant<submit_request, attempt_progress, attempt_result, cancel_request, tick, routing::event,
                 admission::pressure_changed, admission::limit_share_changed, admission::policy_changed>;

}  // namespace chicorygap::dispatch
