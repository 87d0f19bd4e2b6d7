/// @file
/// Content of the operator endpoint /status.
#pragma once

#include "configuration_agent.h"
#include "gateway/registry.h"
#include "settings/daemon_settings.h"

#include <string>

namespace chicorygap::daemon_app {

/// @return state of the daemon as JSON: active documents, and queues and backend servers of each service.
std::string status_json(const settings::daemon_settings& s, const gateway::registry& r,
                        const configuration_agent& d, bool ready, bool draining);

}  // namespace chicorygap::daemon_app
