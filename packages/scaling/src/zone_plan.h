/// @file
/// Servers of one zone against its demand.
#pragma once

#include "scaling/types.h"

#include <string>
#include <vector>

namespace chicorygap::scaling {

/// Price of one slot for an hour, including the work and start time lost by reclaims.
double effective_price(const offer& o, const policy& p);

/// Slots of one zone by use.
struct zone_slots {
    double reserved = 0;  // on servers that cannot be reclaimed
    double reclaimable = 0;

    /// @return slots that are missing for the given demand, reserved work first; never negative.
    [[nodiscard]] zone_slots missing_for(const zone_slots& wanted) const;
};

/// Splits demand into slots on servers that cannot be reclaimed and on those that can.
zone_slots wanted_slots(const demand& d, std::size_t zones, bool reclaimable_allowed, const policy& p);

/// Chooses offers for missing slots, cheapest first, and reduces their availability.
/// @param slots slots still to be found; reduced by what was found.
std::vector<request_servers> choose_offers(std::vector<offer>& offers, const base::zone_id& zone,
                                           bool reclaimable, double& slots, const policy& p);

}  // namespace chicorygap::scaling
