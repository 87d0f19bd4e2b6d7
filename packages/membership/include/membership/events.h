/// @file
/// Events and actions of the membership protocol.
#pragma once

#include "base/id.h"
#include "membership/message.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace chicorygap::membership {

/// Drives the timers; the adapter sends it every 100 ms.
struct tick {};

/// A message from a peer arrived.
struct received {
    message content{};
};

/// Address at which a daemon may run.
struct seed {
    std::string address{};
    /// Empty if unknown.
    base::zone_id zone{};
};

/// Seed addresses from the settings and from the platform's VM list; replaces the previous list.
struct seeds_changed {
    std::vector<seed> seeds{};
};

/// This daemon's state of one service.
struct local_service {
    base::service_id service{};
    std::uint64_t version = 0;
    /// Lowest tier that this daemon still admits.
    std::uint8_t lowest_admitted_tier = 0;
};

/// State of this daemon that is sent to its peers.
struct local_state {
    /// Sorted by requests in flight, highest first; at most `max_reported_loads` are sent.
    std::vector<server_load> loads{};
    std::vector<local_service> services{};
};

/// This daemon shuts down and notifies its peers.
struct leave {};

using event = std::variant<tick, received, seeds_changed, local_state, leave>;

/// Send a message. A response to the message just received may be returned as the result of that call.
struct send {
    std::string address{};
    message content{};
};

/// A member of the local zone joined, changed its state or was replaced by a new incarnation.
struct member_changed {
    member subject{};
};

/// A remote zone became reachable or unreachable.
struct zone_changed {
    base::zone_id zone{};
    bool reachable = false;
};

/// A peer reported its requests in flight per backend server.
struct peer_loads_received {
    base::vm_id peer{};
    std::vector<server_load> loads{};
};

/// A peer reported the version of its active document.
struct peer_version_received {
    std::string address{};
    base::service_id service{};
    std::uint64_t version = 0;
};

/// The lowest tier that any daemon of the zone still admits changed.
struct pressure_changed {
    base::service_id service{};
    std::uint8_t lowest_admitted_tier = 0;
};

using action = std::variant<send, member_changed, zone_changed, peer_loads_received, peer_version_received,
                            pressure_changed>;

}  // namespace chicorygap::membership
