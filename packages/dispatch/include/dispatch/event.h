/// @file
/// Input events of the dispatch core.
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

/// A caller's request that passed all checks of the front.
struct submit_request {
    base::request_id id;
    base::class_id service_class;
    base::workspace_id workspace;
    /// Required model; empty for a plain service.
    std::string model;
    std::int64_t prompt_tokens = 0;
    std::optional<std::int64_t> max_output_tokens;
    /// Latest useful start; the request is refused when it cannot start by then.
    base::time_point start_deadline = base::time_point::max();
    /// Time after which no further attempt is started.
    base::time_point deadline = base::time_point::max();
    bool idempotent = true;
    /// The answer is a token stream that another backend server can continue.
    bool resumable = false;
    /// Urgent requests avoid reclaimable backend servers.
    bool urgent = false;
    /// Hashes of the prompt's prefixes, shortest first.
    std::vector<std::uint64_t> prefixes;
};

/// Output of an attempt was passed to the caller.
struct attempt_progress {
    base::request_id request;
    std::uint32_t attempt = 0;
    /// Number of tokens since the last such event.
    std::uint64_t tokens = 0;
};

/// An attempt has ended; its connection is no longer in use.
struct attempt_result {
    base::request_id request;
    std::uint32_t attempt = 0;
    base::result_code code = base::result_code::ok;
    /// A byte of the request was handed to the connection.
    bool sent = true;
    /// Time since the attempt's start.
    base::duration service_time{};
};

/// The request must end early: its caller left, its key was revoked or the daemon reached its drain limit.
struct cancel_request {
    base::request_id request;
    base::result_code code = base::result_code::caller_gone;
};

/// Periodic event, expected every 50 ms.
struct tick {};

/// Fleet and policy events are passed on to routing and admission.
using event =
    std::variant<submit_request, attempt_progress, attempt_result, cancel_request, tick, routing::event,
                 admission::pressure_changed, admission::limit_share_changed, admission::policy_changed>;

}  // namespace chicorygap::dispatch
