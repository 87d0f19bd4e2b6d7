/// @file
/// Choice of a server where the traffic between zones has a price.
#pragma once

#include "base/time.h"
#include "placement.h"
#include "scheduling/scheduled_request.h"
#include "scheduling/zone_status.h"
#include "server_state.h"

#include <optional>
#include <vector>

namespace chicorygap::scheduling {

class zone_preference;

/// How long a request keeps to its zone.
struct zone_wait_policy {
    /// Time for which it may wait in its zone to save the way.
    base::duration longest_wait{};
    /// An attempt has failed.
    bool retry = false;
};

/// A server and why its zone was chosen.
struct zone_placement {
    placement at;
    leave_reason reason = leave_reason::none;
};

/// Chooses a server in each zone to which the request may go, and of these the one with the lowest cost,
/// including that of the way.
///
/// The servers of different zones are ranked separately, so that each zone has affinity servers of its own
/// for a shared prompt part and KV transfers stay within a zone: they are much larger than the requests.
/// @return nothing if the request has to wait in its zone.
std::optional<zone_placement> choose_in_zones(const scheduled_request& request,
                                              const std::vector<server_state*>& candidates,
                                              const placement_context& c, const zone_preference& preference,
                                              const zone_wait_policy& waits, base::time_point now);

}  // namespace chicorygap::scheduling
