/// @file
/// How one attempt ended.
#pragma once

#include "backend/answer.h"
#include "base/result_code.h"
#include "base/run_state.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chicorygap::backend {

/// Result of one attempt.
struct attempt_outcome {
    base::result_code code = base::result_code::internal;
    /// `not_run` only if no byte was sent, or the server answered 503 with `X-Run-State: not_run` (P9).
    base::run_state state = base::run_state::unknown;
    /// Token events passed to the sink in this attempt; for an unstreamed chat the reported completion
    /// tokens.
    std::uint64_t tokens = 0;
    /// True when the whole answer arrived and was passed to the sink.
    bool complete = false;
    /// True once any part of the answer was passed to the sink.
    bool begun = false;
    /// HTTP status, 0 if no head arrived.
    int status = 0;
    std::optional<token_usage> usage;
    /// The server's `Retry-After`.
    std::optional<base::duration> retry_after;
    /// From the start of the attempt to the first token or body byte.
    std::optional<base::duration> first_token;
    /// For logs; holds neither key nor prompt text.
    std::string detail;
};

}  // namespace chicorygap::backend
