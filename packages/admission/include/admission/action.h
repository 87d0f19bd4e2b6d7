/// @file
/// Decisions of the admission controller.
#pragma once

#include "base/id.h"
#include "base/result_code.h"
#include "base/time.h"

#include <variant>

namespace chicorygap::admission {

/// Run the request now. It holds one slot until `finished`, `placement_failed`, `cancelled` or its
/// preemption.
struct start {
    base::request_id id;
    /// True when the request was preempted before and continues from the tokens already sent.
    bool resumed = false;
};

/// The request will not be run (again). The controller has forgotten it.
struct refuse {
    base::request_id id;
    base::result_code code = base::result_code::internal;
    /// Predicted time until the same request would be accepted.
    base::duration retry_after{};
};

/// Stop the running request. It is queued again and a later `start` resumes it.
struct preempt {
    base::request_id id;
};

using action = std::variant<start, refuse, preempt>;

}  // namespace chicorygap::admission
