/// @file
/// Keeps the backend servers of all services up to date.
#pragma once

#include "gateway/registry.h"
#include "ports/vm_list.h"
#include "settings/daemon_settings.h"

#include <atomic>
#include <vector>

namespace chicorygap::daemon_app {

/// Joins the platform's server list with the servers of the settings.
///
/// Usage: `server_sync s{registry, settings, &vms}; s.refresh();` every second.
class server_sync {
public:
    /// @param vms platform list; null if the settings name no platform.
    server_sync(gateway::registry& r, const settings::daemon_settings& s, ports::vm_list* vms);

    /// Reads the list and passes it to the services. An unreachable platform leaves the last list in force.
    /// @throws base::error with `platform_unavailable`.
    void refresh();

    /// @return true once a list was read, or if there is no platform.
    [[nodiscard]] bool ready() const { return ready_; }

private:
    void update_services(const std::vector<ports::backend_server>& listed);

    gateway::registry& registry_;
    const settings::daemon_settings& settings_;
    ports::vm_list* vms_;
    std::atomic<bool> ready_{false};
};

}  // namespace chicorygap::daemon_app
