/// @file
/// Decisions of the admission controller.
#pragma once

#include "base/id.h"
#include "base/result_code.h"
#include "base/time.h"

#include <variant>

namespace chicorygap::admission {

/// Start the request now. It occupies one slot until the controller handles `finished`, `placement_failed` or
/// `cancelled` for it, or preempts it.
struct start {
    base::request_id id;
    /// True if the request was interrupted before and continues after the tokens already sent.
    bool resumed = false;
};

/// Reject the request, which is new, queued or preempted. The controller keeps no state for it.
struct reject {
    base::request_id id;
    base::result_code code = base::result_code::internal;
    /// Predicted time until the same request would be accepted.
    base::duration retry_after{};
};

/// Stop the running request. The controller queues it again; a later `start` resumes it.
struct preempt {
    base::request_id id;
};

using action = std::variant<start, reject, preempt>;

}  // namespace chicorygap::admission
