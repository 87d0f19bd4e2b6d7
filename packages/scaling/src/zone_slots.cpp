#include "zone_slots.h"

#include <algorithm>
#include <cmath>

namespace chicorygap::scaling {

namespace {

// Server time that one reclaim wastes, because the interrupted work is partly repeated.
constexpr base::duration interrupted_work_time = std::chrono::minutes{1};
constexpr double slot_epsilon = 1e-6;

}  // namespace

double effective_price_per_slot_hour(const offer& o, const policy& p) {
    const std::chrono::duration<double, std::ratio<3600>> lost_time_per_reclaim =
        p.startup_time + interrupted_work_time;
    const double useful_fraction = std::max(1 - o.reclaims_per_hour * lost_time_per_reclaim.count(), 0.05);
    return o.price_per_hour / std::max(o.slots, slot_epsilon) / useful_fraction;
}

zone_slots zone_slots::shortfall_for(const zone_slots& required) const {
    zone_slots shortfall;
    shortfall.reserved = std::max(required.reserved - reserved, 0.0);
    // Surplus reserved slots serve flexible demand as well.
    const double surplus = std::max(reserved - required.reserved, 0.0);
    shortfall.reclaimable = std::max(required.reclaimable - reclaimable - surplus, 0.0);
    return shortfall;
}

zone_slots required_slots(const demand& d, std::size_t zones, bool reclaimable_allowed, const policy& p) {
    const double zone_failure_factor = p.tolerate_zone_failure && zones > 1
                                           ? static_cast<double>(zones) / static_cast<double>(zones - 1)
                                           : 1.0;
    const double reserved = d.reserved_slots * zone_failure_factor / p.target_utilization;
    const double flexible = d.flexible_slots / p.target_utilization;
    const double share = reclaimable_allowed ? p.max_reclaimable_share : 0;
    return {reserved + flexible * (1 - share), flexible * share};
}

std::vector<request_servers> choose_offers(std::vector<offer>& offers, const base::zone_id& zone,
                                           bool reclaimable, double& slots, const policy& p) {
    std::vector<offer*> usable;
    for (auto& o : offers) {
        if (o.zone == zone && o.available_servers > 0 && (reclaimable || !o.reclaimable)) {
            usable.push_back(&o);
        }
    }
    std::stable_sort(usable.begin(), usable.end(), [&](const auto* a, const auto* b) {
        return effective_price_per_slot_hour(*a, p) < effective_price_per_slot_hour(*b, p);
    });
    std::vector<request_servers> out;
    for (auto* o : usable) {
        if (slots <= slot_epsilon) {
            break;
        }
        const int required_servers =
            static_cast<int>(std::ceil(slots / std::max(o->slots, slot_epsilon) - 1e-9));
        const int count = std::min(required_servers, o->available_servers);
        o->available_servers -= count;
        slots -= count * o->slots;
        out.push_back({o->kind, zone, count});
    }
    slots = std::max(slots, 0.0);
    return out;
}

}  // namespace chicorygap::scaling
