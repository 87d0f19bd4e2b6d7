/// @file
/// Operator interface to the evacuations of zones.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "http/server_session.h"

#include <cstddef>
#include <functional>
#include <map>

namespace chicorygap::daemon_app {

class evacuation_agent;

/// Lists the evacuations in force as JSON (GET /evacuations): zone, time since when this daemon knows of it,
/// source, and the number of requests of this daemon that still run in the zone.
///
/// Usage: `if (e.handle(session, request, now)) { return; }`
class evacuation_endpoint {
public:
    /// Returns the number of requests of this daemon that run on the servers of each zone.
    using running_query = std::function<std::map<base::zone_id, std::size_t>()>;

    /// @param agent must outlive the endpoint.
    evacuation_endpoint(const evacuation_agent& agent, running_query running);

    /// @return false if the request has another path, or if the deployment has no evacuations.
    bool handle(http::server_session& s, const http::request& r, base::time_point now) const;

private:
    const evacuation_agent& agent_;
    running_query running_;
};

}  // namespace chicorygap::daemon_app
