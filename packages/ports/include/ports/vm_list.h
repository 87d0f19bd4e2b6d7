/// @file
/// The platform's lists of entry VMs and backend servers.
#pragma once

#include "base/id.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chicorygap::ports {

enum class vm_state { live, leaving };

/// An entry VM running a daemon.
struct vm {
    base::vm_id id;
    base::zone_id zone;
    std::string peer_address;  ///< `host:port` for messages between daemons.
    vm_state state = vm_state::live;

    bool operator==(const vm&) const = default;
};

/// A backend server.
struct backend_server {
    base::backend_server_id id;
    base::zone_id zone;
    base::service_id service;
    std::string kind;  ///< name of a server kind of the service document.
    std::string address;
    bool reclaimable = false;
    std::uint32_t slots = 0;
    vm_state state = vm_state::live;

    bool operator==(const backend_server&) const = default;
};

/// VM list. It lags behind the real state by seconds. Calls throw `base::error` with `platform_unavailable`.
class vm_list {
public:
    virtual ~vm_list() = default;

    /// @return entry VMs of all zones.
    virtual std::vector<vm> vms(base::duration timeout) = 0;
    /// @param zone zone to list; empty for all zones.
    virtual std::vector<backend_server> servers(const base::zone_id& zone, base::duration timeout) = 0;
};

}  // namespace chicorygap::ports
