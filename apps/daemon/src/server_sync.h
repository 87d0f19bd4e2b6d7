/// @file
/// Synchronization of the backend servers of all services.
#pragma once

#include "gateway/registry.h"
#include "ports/vm_list.h"
#include "settings/daemon_settings.h"

#include <atomic>
#include <vector>

namespace chicorygap::daemon_app {

/// Merges the server list of the platform with the static servers of the settings and passes the result to
/// the services.
///
/// Usage: `server_sync s{registry, settings, &vms}; s.refresh();` every second.
class server_sync {
public:
    /// @param vms server list of the platform; null if the settings name no platform.
    server_sync(gateway::registry& r, const settings::daemon_settings& s, ports::vm_list* vms);

    /// Reads the server list and updates the services. While the platform is unreachable, the last list stays
    /// in use.
    /// @throws base::error with `platform_unavailable` if the platform cannot be reached.
    void refresh();

    /// @return true once a server list has been read, or if there is no platform.
    [[nodiscard]] bool ready() const { return ready_; }

private:
    void update_services(const std::vector<ports::backend_server>& listed);

    gateway::registry& registry_;
    const settings::daemon_settings& settings_;
    ports::vm_list* vms_;
    std::atomic<bool> ready_{false};
};

}  // namespace chicorygap::daemon_app
