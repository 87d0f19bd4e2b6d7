/// @file
/// Events and actions of the fleet state machine.
#pragma once

#include "base/id.h"
#include "membership/message.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace chicorygap::membership {

/// Time has passed; sent every 100 ms.
struct tick {};

/// A message arrived.
struct received {
    message content{};
};

/// Address at which a daemon may run.
struct seed {
    std::string address{};
    /// Empty if unknown.
    base::zone_id zone{};
};

/// Addresses from the settings and from the platform's VM list; replaces the previous ones.
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

/// This daemon's state, for its peers.
struct local_state {
    /// Busiest servers first; at most `max_reported_loads` are sent.
    std::vector<server_load> loads{};
    std::vector<local_service> services{};
};

/// This daemon shuts down.
struct leave {};

using event = std::variant<tick, received, seeds_changed, local_state, leave>;

/// Send a message. If it answers the message just received, it may be returned as that call's result.
struct send {
    std::string address{};
    message content{};
};

/// A member of the own zone appeared, changed its state or was replaced.
struct member_changed {
    member subject{};
};

/// Another zone became reachable or unreachable.
struct zone_changed {
    base::zone_id zone{};
    bool reachable = false;
};

/// A peer stated its requests in flight.
struct peer_loads_received {
    base::vm_id peer{};
    std::vector<server_load> loads{};
};

/// A peer stated the version of its active document.
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
