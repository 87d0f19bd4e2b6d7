/// @file
/// Status and load report that daemons exchange.
#pragma once

#include "backpressure/signal_report.h"
#include "base/id.h"
#include "base/store_position.h"
#include "base/time.h"
#include "crash_guard/crash_report.h"
#include "metering/window_counts.h"
#include "net/address.h"
#include "scheduling/load.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

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
    /// Era of the store that the two revisions below belong to; 0 if unknown, as in earlier releases.
    std::uint64_t store_era = 0;
    /// Store revision of the latest change to the server list that the sender has seen.
    std::uint64_t servers_revision = 0;
    /// Not 0 if servers that are missing in the sender's list are known to have left. The list is then the
    /// content of the store from `servers_revision` up to this revision.
    std::uint64_t servers_final_revision = 0;
    /// Position of the latest change to the evacuations of zones that the sender has seen; 0 if it does not
    /// read them.
    base::store_position evacuations;
    /// The sender is shutting down.
    bool stopping = false;
    /// Fencing token of the lease that the sender holds; 0 if it holds no lease.
    std::uint64_t lease_term = 0;
    /// CPU share of the sender's VM, as a fraction of one core.
    float processor_share = 1;
    /// Speed of the network link of the sender's VM in Mbit/s; 0 if unknown.
    float link_mbits = 0;
    /// Loads from the sender's own requests; empty in beacons that tell no loads. In a large fleet they are
    /// sent only within the sender's zone.
    service_loads services;
    /// Loads summed over the daemons of the sender's zone; sent only by zone representatives.
    service_loads zone_services;
    /// Number of live daemons in the sender's zone. Not 0 marks the beacon as a zone digest, which
    /// representatives send to other zones.
    std::uint32_t zone_daemons = 0;
    /// Fencing token of the lease holder if it is in the sender's zone, else 0; only in zone digests.
    std::uint64_t zone_lease_term = 0;
    /// Address of that lease holder.
    net::address zone_lease_address;
    /// Recent calls of the sender to the store failed.
    bool store_unreachable = false;
    /// Peer addresses of daemons in the receiver's zone, for a receiver that the sender did not know.
    std::vector<net::address> contacts;
    /// Largest number of daemons that were live at the same time, as far as the sender remembers; 0 if
    /// unknown.
    std::uint32_t largest_fleet = 0;
    /// Time since that number was last live.
    base::duration largest_fleet_age{};
    /// Evidence and decisions on prompt parts that end servers.
    crash_guard::crash_report crashes;
    /// What servers have said of themselves, and the demand of the sender's callers.
    backpressure::signal_report signals;
    /// Requests that the sender counted in recent usage windows.
    std::map<metering::window_number, metering::workspace_counts> windows;
    /// Counts of the fleet that the sender, as the lease holder, has stored for the reports of usage windows.
    std::map<metering::window_number, metering::workspace_counts> stored_windows;

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
