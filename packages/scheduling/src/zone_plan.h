/// @file
/// Division of the requests that leave a zone among the other zones.
#pragma once

#include "base/id.h"
#include "scheduling/zone_load.h"

#include <map>
#include <vector>

namespace chicorygap::scheduling {

/// What one zone can take from this daemon's zone.
struct zone_part {
    /// Places that this daemon's zone may use there in total.
    double places = 0;
    /// Of these, places that it uses now, and that it may take in addition.
    double used = 0;
    double unused = 0;
    /// Share of the requests of this daemon's zone that is to go there.
    double share = 0;
};

/// Parts of the other zones.
using zone_plan = std::map<base::zone_id, zone_part>;

/// @return requests that the zone's daemons have beyond the working level of its servers' places; all of them
///         if no server takes requests.
double excess_demand(const zone_load& z);

/// Divides the requests that should leave a zone. Equal inputs give equal plans, so that the daemons of a
/// zone follow one plan without messages.
///
/// The places that a zone can spare are those beyond the demand of its own daemons and what it keeps for
/// them. They are divided among the zones that have too few, in proportion to what these lack: every daemon
/// can compute this from the digests. Requests of other zones that run in a zone do not count in its demand;
/// if they did, the plan would react to its own effect. A zone that itself has too few places gets nothing,
/// and neither does one that is cut off.
/// @param loads load of each zone.
/// @param home zone whose requests leave.
/// @param wanted requests of `home` that should run elsewhere, including those that already do.
zone_plan make_zone_plan(const std::vector<zone_load>& loads, const base::zone_id& home, double wanted);

}  // namespace chicorygap::scheduling
