/// @file
/// Zones that get no work, and zones that get it again.
#pragma once

#include "base/id.h"
#include "base/time.h"

#include <map>
#include <set>

namespace chicorygap::catalog {

/// Zones whose servers get no requests, and zones whose evacuation was withdrawn lately.
struct evacuation_state {
    std::set<base::zone_id> evacuated;
    /// Time at which this daemon learned that the evacuation of the zone was withdrawn.
    std::map<base::zone_id, base::time_point> returned;

    bool operator==(const evacuation_state&) const = default;
};

}  // namespace chicorygap::catalog
