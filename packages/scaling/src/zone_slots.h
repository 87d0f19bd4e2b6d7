/// @file
/// Slots that a zone requires, and the choice of offers that provide them.
#pragma once

#include "scaling/types.h"

#include <string>
#include <vector>

namespace chicorygap::scaling {

/// Computes the price of one slot per hour, including the server time that reclaims waste on startup and
/// interrupted work.
double effective_price_per_slot_hour(const offer& o, const policy& p);

/// Number of slots of one zone by type of server.
struct zone_slots {
    double reserved = 0;     // on servers that cannot be reclaimed
    double reclaimable = 0;  // on reclaimable servers

    /// Surplus reserved slots count as reclaimable slots, but not vice versa.
    /// @param required slots that the zone requires.
    /// @return slots missing from the required ones, at least 0.
    [[nodiscard]] zone_slots shortfall_for(const zone_slots& required) const;
};

/// Computes the slots that a demand requires on reserved and on reclaimable servers.
/// @param d demand of the zone.
/// @param zones number of zones, which determines the spare slots for the failure of one zone.
/// @param reclaimable_allowed whether flexible demand may use reclaimable servers.
/// @param p scaling policy.
zone_slots required_slots(const demand& d, std::size_t zones, bool reclaimable_allowed, const policy& p);

/// Chooses offers of one zone for missing slots, lowest price per slot first.
/// @param offers all offers; the number of available servers is reduced by the servers chosen.
/// @param zone zone of the offers.
/// @param reclaimable whether offers of reclaimable servers may be chosen.
/// @param slots number of missing slots; reduced by the slots of the chosen servers, to at least 0.
/// @param p scaling policy.
/// @return servers to request.
std::vector<request_servers> choose_offers(std::vector<offer>& offers, const base::zone_id& zone,
                                           bool reclaimable, double& slots, const policy& p);

}  // namespace chicorygap::scaling
