/// @file
/// Whether and why requests leave their zone.
#pragma once

#include "base/id.h"

#include <array>
#include <cstdint>
#include <map>

namespace chicorygap::scheduling {

/// Why requests leave the zone, in ascending order of urgency.
enum class zone_state {
    sufficient,       ///< the zone's servers are enough
    slow,             ///< a first event is expected sooner elsewhere, by more than the way there costs
    short_of_places,  ///< the zone's daemons need more places than its servers have
    closed,           ///< no server of the zone takes requests
};

/// @return name of the state for logs and metrics.
const char* to_string(zone_state s);

/// Why one request left the zone.
enum class leave_reason {
    none,    ///< the request stays in its zone
    slow,    ///< part of the share that leaves because the zone is slow
    share,   ///< part of the share that leaves because the zone is short of places
    retry,   ///< an attempt failed, and no other server of the zone had a place
    full,    ///< no server of the zone had a place for the request, and waiting would have cost more
    closed,  ///< no server of the zone takes requests
};

/// All reasons for which a request can leave.
inline constexpr std::array<leave_reason, 5> all_leave_reasons{
    leave_reason::slow, leave_reason::share, leave_reason::retry, leave_reason::full, leave_reason::closed};

/// @return name of the reason for logs and metrics.
const char* to_string(leave_reason r);

/// Requests that left the zone for one reason.
struct zone_departures {
    std::uint64_t requests = 0;
    /// Bytes of the requests and of their expected answers.
    std::uint64_t bytes = 0;
    /// Sum of the prices of these bytes, in milliseconds of callers' waits.
    double price_ms = 0;
};

/// State of the preference of one service for logs and metrics.
struct zone_status {
    zone_state state = zone_state::sufficient;
    /// Number of changes of the state since the start.
    std::uint64_t state_changes = 0;
    /// Share of this daemon's requests that is to go to each other zone; zones without a share are absent.
    std::map<base::zone_id, double> shares;
    /// Requests that left since the start, by reason.
    std::map<leave_reason, zone_departures> departures;

    /// @return share of the requests that is to leave the zone.
    [[nodiscard]] double share() const;
};

}  // namespace chicorygap::scheduling
