/// @file
/// Decisions of the dispatcher.
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
    /// Number of the attempt, starting at 1.
    std::uint32_t attempt = 0;
    base::backend_server_id server;
    /// Number of tokens that the caller has received; the server resumes the stream after them.
    std::uint64_t resume_tokens = 0;
};

/// Cancel the attempt in flight. An `attempt_result` for it must follow.
struct cancel_attempt {
    base::request_id request;
    std::uint32_t attempt = 0;
    base::result_code reason = base::result_code::preempted;
};

/// Reject the request. The dispatcher keeps no state for it.
struct reject {
    base::request_id request;
    base::result_code code = base::result_code::internal;
    base::run_state state = base::run_state::not_run;
    /// Time until the same request would be accepted; zero if unknown.
    base::duration retry_after{};
};

/// The response is complete. The dispatcher keeps no state for the request.
struct complete {
    base::request_id request;
};

using action = std::variant<start_attempt, cancel_attempt, reject, complete>;

}  // namespace chicorygap::dispatch
