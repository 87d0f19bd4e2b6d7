/// @file
/// A request between its submission and its end.
#pragma once

#include "dispatch/event.h"
#include "retry/attempt_tracker.h"

#include <optional>
#include <vector>

namespace chicorygap::dispatch {

/// State of one open request.
struct open_request {
    submit_request terms;
    retry::attempt_tracker ledger;
    /// Number of the attempt in flight, 0 if none.
    std::uint32_t attempt = 0;
    base::backend_server_id server;
    /// Servers of failed attempts, not to be chosen again.
    std::vector<base::backend_server_id> tried;
    /// Holds a slot of the admission controller.
    bool admitted = false;
    /// The attempt in flight was cancelled because admission preempted the request.
    bool preempted = false;
    /// Reason of a `cancel_request` that waits for the end of the attempt in flight.
    std::optional<base::result_code> stop_code;
};

}  // namespace chicorygap::dispatch
