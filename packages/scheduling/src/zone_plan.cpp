#include "zone_plan.h"

#include <algorithm>
#include <numeric>

namespace chicorygap::scheduling {

namespace {

/// Part of a zone's places that its own daemons fill before requests leave. The rest takes the variation of
/// arrivals between two reports.
constexpr double working_level = 0.85;
/// Part of its places that a zone keeps for its own callers. A burst of 1.4 times the usual rate, the
/// smallest one that is planned for, fits into it at half load.
constexpr double reserve = 0.2;
/// Reserve towards a zone whose servers all are gone: its callers have no other place.
constexpr double reserve_for_closed_zones = 0.1;

const zone_load* find(const std::vector<zone_load>& loads, const base::zone_id& zone) {
    const auto it = std::find_if(loads.begin(), loads.end(), [&](const auto& z) { return z.zone == zone; });
    return it == loads.end() ? nullptr : &*it;
}

/// @return places of the zone that its own daemons do not need and that it does not keep for them.
double places_for_others(const zone_load& z, double reserved_fraction) {
    return std::max(0.0, z.places * (1 - reserved_fraction) - z.demand);
}

/// @return part of what zone `z` can spare that belongs to the home zone.
double part_of_home(const std::vector<zone_load>& loads, const zone_load& z, const base::zone_id& home,
                    double wanted) {
    // Before the reports show a lack, all zones have equal parts: bursts that begin at the same time in two
    // zones would otherwise fill the third one twice.
    const double own = std::max(wanted, 1.0);
    const double others =
        std::accumulate(loads.begin(), loads.end(), 0.0, [&](double sum, const auto& other) {
            return other.zone == home || other.zone == z.zone ? sum
                                                              : sum + std::max(excess_demand(other), 1.0);
        });
    return own / (own + others);
}

/// @return false if other zones are heard and this one is not. Before the first report of another zone, and
/// in a fleet of one zone, silence says nothing.
bool in_contact(const std::vector<zone_load>& loads, const zone_load& z, const base::zone_id& home) {
    return z.reports > 0 || std::none_of(loads.begin(), loads.end(), [&](const auto& other) {
               return other.zone != home && other.reports > 0;
           });
}

}  // namespace

double excess_demand(const zone_load& z) {
    return z.places > 0 ? std::max(0.0, z.demand - working_level * z.places) : z.demand;
}

zone_plan make_zone_plan(const std::vector<zone_load>& loads, const base::zone_id& home, double wanted) {
    zone_plan plan;
    const auto* own = find(loads, home);
    const double reserved = own == nullptr || own->places <= 0 ? reserve_for_closed_zones : reserve;
    double all_places = 0;
    for (const auto& z : loads) {
        if (z.zone == home || z.places <= 0 || !in_contact(loads, z, home)) {
            continue;
        }
        auto& part = plan[z.zone];
        part.places = places_for_others(z, reserved) * part_of_home(loads, z, home, wanted);
        part.used = std::min(z.running_from_home, part.places);
        const double free = z.places * (1 - reserved) - z.running - z.waiting;
        part.unused = std::clamp(part.places - part.used, 0.0, std::max(free, 0.0));
        all_places += part.places;
    }
    const double demand = std::max(own == nullptr ? 0 : own->demand, 1.0);
    for (auto& [zone, part] : plan) {
        const double planned = all_places > 0 ? std::min(wanted / all_places, 1.0) * part.places : 0;
        part.share = std::min(planned / demand, 1.0);
    }
    return plan;
}

}  // namespace chicorygap::scheduling
