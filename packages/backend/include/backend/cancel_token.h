/// @file
/// Cancellation hook of an attempt.
#pragma once

#include "base/result_code.h"
#include "base/time.h"

#include <functional>
#include <optional>

namespace chicorygap::backend {

/// Asked while an attempt waits and between the parts of its answer.
struct cancel_token {
    /// Returns the reason to stop (`caller_gone`, `preempted`, `key_withdrawn`, ...), or nothing to go on.
    /// Must not block. Unset means never.
    std::function<std::optional<base::result_code>()> poll;
    /// Longest time between two polls. 100 ms leaves most of the 2 s of P5 to the path of the revocation.
    base::duration interval = std::chrono::milliseconds{100};
};

}  // namespace chicorygap::backend
