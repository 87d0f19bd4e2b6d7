/// @file
/// Load of one availability zone, as the daemons' reports tell it.
#pragma once

#include "base/id.h"
#include "base/time.h"

#include <cstddef>

namespace chicorygap::scheduling {

/// Load of one service in one zone: what its servers hold, and what its daemons have to place.
///
/// Servers that take no requests (draining, ejected) and the requests that run on them are not counted.
struct zone_load {
    base::zone_id zone;
    /// Requests that the servers hold at once, given their slots and their KV cache.
    double places = 0;
    /// Requests of all daemons that run on the servers.
    double running = 0;
    /// Of these, requests of the daemons of this daemon's zone.
    double running_from_home = 0;
    /// Requests of the zone's daemons that run on any server or wait for one.
    double demand = 0;
    /// Requests of the zone's daemons that wait for a server.
    double waiting = 0;
    /// Reports of daemons of the zone that are in force, and this daemon in its own zone. A zone digest
    /// counts as one. A zone with 0 is cut off, or nothing has been heard of it yet.
    std::size_t reports = 0;
    /// Expected time to the first event of a request that starts now on a server of the zone.
    base::duration first_event{};
};

}  // namespace chicorygap::scheduling
