/// @file
/// What a daemon tells its peers.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "metering/window_counts.h"
#include "net/address.h"
#include "scheduling/load.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chicorygap::sharing {

using service_loads = std::map<base::service_id, scheduling::load_report>;

/// What a daemon tells its peers several times a second.
struct beacon {
    base::vm_id vm;
    base::zone_id zone;
    /// Differs for every start of a daemon.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    net::address peer_address;
    net::address operator_address;
    base::wall_time wall_time;
    std::uint64_t configuration_version = 0;
    /// Revision of the store at which the sender last saw the list of servers change.
    std::uint64_t servers_revision = 0;
    bool stopping = false;
    /// Fencing token of the lease that the sender holds; 0 if it holds none.
    std::uint64_t lease_term = 0;
    /// Part of a core that the sender's VM has.
    float processor_share = 1;
    /// The sender's own loads; only daemons of its zone get them in a large fleet.
    service_loads services;
    /// Sums over the daemons of the sender's zone; only from the daemon that speaks for it.
    service_loads zone_services;
    std::map<metering::window_number, metering::workspace_counts> windows;

    bool operator==(const beacon&) const = default;
};

/// @return the beacon in packed form.
std::string encode(const beacon& b);

/// @return the beacon, or nothing if the bytes are none.
std::optional<beacon> decode(std::string_view bytes);

}  // namespace chicorygap::sharing
