#include "zone_placement.h"

#include "scheduling/zone_preference.h"

#include <map>

namespace chicorygap::scheduling {

std::optional<zone_placement> choose_in_zones(const scheduled_request& request,
                                              const std::vector<server_state*>& candidates,
                                              const placement_context& c, const zone_preference& preference,
                                              const zone_wait_policy& waits, base::time_point now) {
    std::map<base::zone_id, std::vector<server_state*>> by_zone;
    for (auto* s : candidates) {
        by_zone[s->info.zone].push_back(s);
    }
    std::optional<zone_placement> best;
    double best_ms = 0;
    const auto consider = [&](const base::zone_id& zone, double cost_ms, leave_reason reason) {
        auto in_zone = c;
        in_zone.zone = zone;  // the cost of the way is added here
        const auto p = choose_server(request, by_zone[zone], in_zone, now);
        if (p && (!best || p->cost_ms + cost_ms < best_ms)) {
            best = zone_placement{*p, reason};
            best_ms = p->cost_ms + cost_ms;
        }
    };
    const double way_ms = preference.cost_ms(request.traffic_bytes);
    consider(c.zone, preference.home_place_cost_ms(), leave_reason::none);
    for (const auto& [zone, servers] : by_zone) {
        if (zone != c.zone && preference.in_share(zone)) {
            consider(zone, way_ms, preference.share_reason());
        }
    }
    if (best) {
        return best;
    }
    for (const auto& [zone, servers] : by_zone) {
        if (zone == c.zone) {
            continue;
        }
        const auto reason = waits.retry
                                ? (preference.may_retry(zone) ? leave_reason::retry : leave_reason::none)
                                : preference.may_overflow(zone, request.traffic_bytes, now - request.arrived,
                                                          waits.longest_wait);
        if (reason != leave_reason::none) {
            consider(zone, way_ms, reason);
        }
    }
    return best;
}

}  // namespace chicorygap::scheduling
