/// @file
/// A request from its submission to its end.
#pragma once

#include "dispatch/event.h"
#include "retry/attempt_tracker.h"

#include <optional>
#include <vector>

namespace chicorygap::dispatch {

/// State of one open request.
struct open_request {
    submit_request submission;
    retry::attempt_tracker tracker;
    /// Number of the attempt in flight, 0 if none.
    std::uint32_t current_attempt = 0;
    /// Server of the attempt in flight, empty if none.
    base::backend_server_id current_server;
    /// Servers of failed attempts, excluded from server selection.
    std::vector<base::backend_server_id> failed_servers;
    /// The request holds a slot of the admission controller.
    bool admitted = false;
    /// The attempt in flight was cancelled because the admission controller preempted the request.
    bool preempted = false;
    /// Code with which the request ends as soon as its cancelled attempt has ended.
    std::optional<base::result_code> cancel_code;
};

}  // namespace chicorygap::dispatch
