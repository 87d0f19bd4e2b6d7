/// @file
/// Interface towards backend servers.
#pragma once

#include "backend/answer.h"
#include "backend/backend_request.h"
#include "backend/cancel_token.h"
#include "backend/outcome.h"

namespace chicorygap::backend {

/// Sends one attempt to a backend server and reads its answer on the calling thread.
///
/// Usage: `auto o = client.call(request, sink, cancel); if (!o.complete && o.state == run_state::not_run)
/// ...`
class backend_client {
public:
    virtual ~backend_client() = default;

    /// Blocks until the attempt has ended. Failures of the server or the network are outcomes, not
    /// exceptions.
    /// @param request what to send and to which server.
    /// @param sink receives the answer as it arrives.
    /// @param cancel asked for a reason to stop.
    /// @return how the attempt ended.
    virtual attempt_outcome call(const backend_request& request, const answer_sink& sink,
                                 const cancel_token& cancel) = 0;

protected:
    backend_client() = default;
    backend_client(const backend_client&) = default;
    backend_client& operator=(const backend_client&) = default;
};

}  // namespace chicorygap::backend
