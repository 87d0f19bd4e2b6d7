/// @file
/// Decisions of the dispatch core.
#pragma once

#include "base/id.h"
#include "base/result_code.h"
#include "base/run_state.h"
#include "base/time.h"

#include <cstdint>
#include <variant>

namespace chicorygap::dispatch {

/// Send the request to a backend server.
struct start_attempt {
    base::request_id request;
    std::uint32_t attempt = 0;
    base::backend_server_id server;
    /// Tokens that the caller already has; the server continues behind them.
    std::uint64_t resume_tokens = 0;
};

/// End an attempt in flight; an `attempt_result` is expected afterwards.
struct cancel_attempt {
    base::request_id request;
    std::uint32_t attempt = 0;
    base::result_code reason = base::result_code::preempted;
};

/// Refuse the request. The core has forgotten it.
struct reject {
    base::request_id request;
    base::result_code code = base::result_code::internal;
    base::run_state state = base::run_state::not_run;
    /// Time until the same request would be accepted; zero if nothing is known.
    base::duration retry_after{};
};

/// The answer is complete. The core has forgotten the request.
struct complete {
    base::request_id request;
};

using action = std::variant<start_attempt, cancel_attempt, reject, complete>;

}  // namespace chicorygap::dispatch
