/// @file
/// Operator interface to prompt parts that end servers.
#pragma once

#include "base/time.h"
#include "http/server_session.h"

namespace chicorygap::crash_guard {
class prompt_guard;
}

namespace chicorygap::daemon_app {

/// Lists the parts of prompts that are quarantined or in doubt (GET /quarantine), quarantines one
/// (PUT /quarantine/ID) or releases it (DELETE /quarantine/ID). Each response is the list as JSON.
///
/// Usage: `if (e.handle(session, request, now)) { return; }`
class quarantine_endpoint {
public:
    /// @param guard must outlive the endpoint.
    explicit quarantine_endpoint(crash_guard::prompt_guard& guard) : guard_{guard} {}

    /// @return false if the request has another path.
    bool handle(http::server_session& s, const http::request& r, base::time_point now);

private:
    crash_guard::prompt_guard& guard_;
};

}  // namespace chicorygap::daemon_app
