/// @file
/// Operator interface to what servers say of themselves.
#pragma once

#include "base/time.h"
#include "http/server_session.h"

namespace chicorygap::backpressure {
class signal_table;
}

namespace chicorygap::daemon_app {

/// Lists the servers that have named a limit or a time without requests, or that are about to stop, as JSON
/// (GET /server-signals).
///
/// Usage: `if (e.handle(session, request, now)) { return; }`
class signal_endpoint {
public:
    /// @param signals must outlive the endpoint.
    explicit signal_endpoint(const backpressure::signal_table& signals) : signals_{signals} {}

    /// @return false if the request has another path.
    bool handle(http::server_session& s, const http::request& r, base::time_point now) const;

private:
    const backpressure::signal_table& signals_;
};

}  // namespace chicorygap::daemon_app
