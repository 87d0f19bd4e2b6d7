/// @file
/// Status and load report that daemons exchange.
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

/// Load reports by service.
using service_loads = std::map<base::service_id, scheduling::load_report>;

/// Status and load report that a daemon sends to its peers several times a second, in one datagram.
struct beacon {
    base::vm_id vm;
    base::zone_id zone;
    /// Start time of the daemon process; identifies one run of the daemon.
    std::uint64_t incarnation = 0;
    /// Increases with every beacon of one incarnation.
    std::uint64_t sequence = 0;
    net::address peer_address;
    net::address operator_address;
    /// Wall clock of the sender when it sent the beacon.
    base::wall_time wall_time;
    std::uint64_t configuration_version = 0;
    /// Store revision of the latest change to the server list that the sender has seen.
    std::uint64_t servers_revision = 0;
    /// The sender is shutting down.
    bool stopping = false;
    /// Fencing token of the lease that the sender holds; 0 if it holds no lease.
    std::uint64_t lease_term = 0;
    /// CPU share of the sender's VM, as a fraction of one core.
    float processor_share = 1;
    /// Loads from the sender's own requests. In a large fleet they are sent only within the sender's zone.
    service_loads services;
    /// Loads summed over the daemons of the sender's zone; sent only by the zone representative.
    service_loads zone_services;
    /// Requests that the sender counted in recent usage windows.
    std::map<metering::window_number, metering::workspace_counts> windows;

    bool operator==(const beacon&) const = default;
};

/// Serializes a beacon.
/// @return the Cap'n Proto message in packed encoding.
std::string encode(const beacon& b);

/// Parses a datagram.
/// @param bytes Cap'n Proto message in packed encoding.
/// @return the beacon, or nothing if `bytes` is malformed.
std::optional<beacon> decode(std::string_view bytes);

}  // namespace chicorygap::sharing
