/// @file
/// A refusal or failure as a caller sees it.
#pragma once

#include "base/result_code.h"
#include "base/run_state.h"
#include "base/time.h"

#include <optional>
#include <string>

namespace chicorygap::front {

/// Sent as application/problem+json, or as an `error` event in a stream that has begun.
struct refusal {
    base::result_code code = base::result_code::internal;
    base::run_state state = base::run_state::not_run;
    /// For the caller; holds neither key nor prompt text.
    std::string detail;
    /// Sent as `Retry-After`, rounded up to whole seconds.
    std::optional<base::duration> retry_after;
    /// The state also covers earlier tries with the same idempotency key. Otherwise a `not_run` is sent as
    /// `unknown` when the request has such a key, because an earlier try may have run.
    bool covers_earlier_tries = false;
};

/// @return the JSON body with type, title, status, code, name, run_state and detail.
[[nodiscard]] std::string problem_json(const refusal& r);

}  // namespace chicorygap::front
