#include "zone_plan.h"

#include <algorithm>
#include <cmath>

namespace chicorygap::scaling {

namespace {

// Work that one reclaim interrupts and that is partly repeated, in minutes of the server.
constexpr base::duration lost_work = std::chrono::minutes{1};
constexpr double smallest_slots = 1e-6;

}  // namespace

double effective_price(const offer& o, const policy& p) {
    const std::chrono::duration<double, std::ratio<3600>> lost = p.start_time + lost_work;
    const double useful = std::max(1 - o.reclaims_per_hour * lost.count(), 0.05);
    return o.price_per_hour / std::max(o.slots, smallest_slots) / useful;
}

zone_slots zone_slots::missing_for(const zone_slots& wanted) const {
    zone_slots m;
    m.reserved = std::max(wanted.reserved - reserved, 0.0);
    // Surplus slots that cannot be reclaimed serve flexible work as well.
    const double surplus = std::max(reserved - wanted.reserved, 0.0);
    m.reclaimable = std::max(wanted.reclaimable - reclaimable - surplus, 0.0);
    return m;
}

zone_slots wanted_slots(const demand& d, std::size_t zones, bool reclaimable_allowed, const policy& p) {
    const double spare =
        p.survive_zone_loss && zones > 1 ? static_cast<double>(zones) / static_cast<double>(zones - 1) : 1.0;
    const double reserved = d.reserved_slots * spare / p.target_utilisation;
    const double flexible = d.flexible_slots / p.target_utilisation;
    const double share = reclaimable_allowed ? p.max_reclaimable_share : 0;
    return {reserved + flexible * (1 - share), flexible * share};
}

std::vector<request_servers> choose_offers(std::vector<offer>& offers, const base::zone_id& zone,
                                           bool reclaimable, double& slots, const policy& p) {
    std::vector<offer*> usable;
    for (auto& o : offers) {
        if (o.zone == zone && o.available > 0 && (reclaimable || !o.reclaimable)) {
            usable.push_back(&o);
        }
    }
    std::stable_sort(usable.begin(), usable.end(), [&](const auto* a, const auto* b) {
        return effective_price(*a, p) < effective_price(*b, p);
    });
    std::vector<request_servers> out;
    for (auto* o : usable) {
        if (slots <= smallest_slots) {
            break;
        }
        const int wanted = static_cast<int>(std::ceil(slots / std::max(o->slots, smallest_slots) - 1e-9));
        const int count = std::min(wanted, o->available);
        o->available -= count;
        slots -= count * o->slots;
        out.push_back({o->kind, zone, count});
    }
    slots = std::max(slots, 0.0);
    return out;
}

}  // namespace chicorygap::scaling
