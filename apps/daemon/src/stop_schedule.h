/// @file
/// Times of a planned stop.
#pragma once

#include "base/time.h"

namespace chicorygap::daemon_app {

/// Times of a planned stop, measured from the stop request.
struct stop_schedule {
    /// Until then the load balancer may open new connections, and requests are taken that may last beyond the
    /// end.
    base::duration accept_all_until{};
    /// Requests that are still open are ended then.
    base::duration end_requests_at{};
    /// The process exits then at the latest, after the last answers were sent.
    base::duration exit_at{};
};

/// @param stop_timeout time from the stop request until the process is killed.
stop_schedule make_stop_schedule(base::duration stop_timeout);

}  // namespace chicorygap::daemon_app
