#include "scaling/capacity_planner.h"

#include "sliding_maximum.h"
#include "zone_slots.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace chicorygap::scaling {

class capacity_planner::state {
public:
    explicit state(policy p) : policy_{p} {}

    std::vector<action> handle(const event& e, base::time_point now) {
        now_ = now;
        actions_.clear();
        std::visit([this](const auto& v) { on(v); }, e);
        return std::move(actions_);
    }

private:
    struct zone_state {
        base::zone_id id;
        sliding_maximum reserved_demand;
        sliding_maximum flexible_demand;
        std::optional<base::time_point> last_reclaim;
    };

    void on(const offers_changed& e) { offers_ = e.offers; }
    void on(const servers_changed& e) { servers_ = e.servers; }
    void on(const policy_changed& e) { policy_ = e.value; }
    void on(const server_reclaimed& e) { find_or_add_zone(e.zone).last_reclaim = now_; }
    void on(const demand_measured& e) {
        for (const auto& d : e.zones) {
            zone_state& z = find_or_add_zone(d.zone);
            z.reserved_demand.add(d.reserved_slots, policy_.scale_down_window, now_);
            z.flexible_demand.add(d.flexible_slots, policy_.scale_down_window, now_);
        }
    }
    void on(const tick&) {
        release_drained();
        auto offers = offers_;
        zone_slots unmet;
        for (const auto& [name, z] : zones_) {
            const zone_slots zone_unmet = scale_up_zone(z, offers);
            unmet.reserved += zone_unmet.reserved;
            unmet.reclaimable += zone_unmet.reclaimable;
        }
        if (unmet.reserved + unmet.reclaimable > 0) {
            // Surplus slots of other zones may already serve the unmet demand. They are not requested again,
            // and no server is drained while demand is unmet.
            deduct_surplus(unmet);
            request_in_any_zone(offers, unmet);
            return;
        }
        for (const auto& [name, z] : zones_) {
            drain_surplus(z.id, current_slots(z.id), required_slots_in(z));
        }
    }

    zone_state& find_or_add_zone(const base::zone_id& id) {
        zone_state& z = zones_[id.str()];
        z.id = id;
        return z;
    }

    [[nodiscard]] const offer* offer_of(const server& s) const {
        const auto it = std::find_if(offers_.begin(), offers_.end(),
                                     [&](const offer& o) { return o.kind == s.kind && o.zone == s.zone; });
        return it == offers_.end() ? nullptr : &*it;
    }

    void release_drained() {
        for (const auto& s : servers_) {
            if (s.state == server_state::draining && s.running_requests == 0) {
                actions_.emplace_back(release_server{s.id});
            }
        }
    }

    [[nodiscard]] zone_slots current_slots(const base::zone_id& zone) const {
        zone_slots sum;
        for (const auto& s : servers_) {
            const offer* o = offer_of(s);
            if (s.zone == zone && s.state != server_state::draining && o != nullptr) {
                (o->reclaimable ? sum.reclaimable : sum.reserved) += o->slots;
            }
        }
        return sum;
    }

    // Cancels drains and requests servers in the zone. Returns the slots that the zone cannot provide.
    zone_slots scale_up_zone(const zone_state& z, std::vector<offer>& offers) {
        const zone_slots required = required_slots_in(z);
        zone_slots shortfall = current_slots(z.id).shortfall_for(required);
        const double required_total = required.reserved + required.reclaimable;
        if (shortfall.reserved + shortfall.reclaimable <=
            required_total * (1 - 1 / policy_.scale_up_threshold_ratio)) {
            return {};
        }
        cancel_drains(z.id, shortfall);
        add_requests(choose_offers(offers, z.id, false, shortfall.reserved, policy_));
        add_requests(choose_offers(offers, z.id, reclaimable_allowed(z), shortfall.reclaimable, policy_));
        return shortfall;
    }

    [[nodiscard]] bool reclaimable_allowed(const zone_state& z) const {
        return !z.last_reclaim || now_ - *z.last_reclaim >= policy_.reclaim_backoff;
    }

    [[nodiscard]] zone_slots required_slots_in(const zone_state& z) const {
        const demand d{z.id, z.reserved_demand.maximum(), z.flexible_demand.maximum()};
        return required_slots(d, zones_.size(), reclaimable_allowed(z), policy_);
    }

    void deduct_surplus(zone_slots& unmet) const {
        for (const auto& [name, z] : zones_) {
            const zone_slots required = required_slots_in(z);
            const zone_slots current = current_slots(z.id);
            double surplus = std::max(current.reserved - required.reserved, 0.0);
            const double reserved = std::min(surplus, unmet.reserved);
            unmet.reserved -= reserved;
            surplus += std::max(current.reclaimable - required.reclaimable, 0.0) - reserved;
            unmet.reclaimable = std::max(unmet.reclaimable - std::max(surplus, 0.0), 0.0);
        }
    }

    void add_requests(const std::vector<request_servers>& r) {
        actions_.insert(actions_.end(), r.begin(), r.end());
    }

    // A draining server that still runs requests is available at once, a new server only after
    // `startup_time`.
    void cancel_drains(const base::zone_id& zone, zone_slots& shortfall) {
        for (const auto& s : servers_) {
            const offer* o = offer_of(s);
            if (s.zone != zone || s.state != server_state::draining || s.running_requests == 0 ||
                o == nullptr) {
                continue;
            }
            double& slots = o->reclaimable ? shortfall.reclaimable : shortfall.reserved;
            if (slots > 0) {
                actions_.emplace_back(cancel_drain{s.id});
                slots = std::max(slots - o->slots, 0.0);
            }
        }
    }

    void request_in_any_zone(std::vector<offer>& offers, zone_slots& unmet) {
        std::vector<base::zone_id> zones_by_price;
        for (const auto& [name, z] : zones_) {
            zones_by_price.push_back(z.id);
        }
        std::stable_sort(zones_by_price.begin(), zones_by_price.end(), [&](const auto& a, const auto& b) {
            return lowest_price(offers, a) < lowest_price(offers, b);
        });
        for (const auto& zone : zones_by_price) {
            add_requests(choose_offers(offers, zone, false, unmet.reserved, policy_));
            add_requests(choose_offers(offers, zone, false, unmet.reclaimable, policy_));
        }
    }

    [[nodiscard]] double lowest_price(const std::vector<offer>& offers, const base::zone_id& zone) const {
        double lowest = 1e300;
        for (const auto& o : offers) {
            if (o.zone == zone && o.available_servers > 0 && !o.reclaimable) {
                lowest = std::min(lowest, effective_price_per_slot_hour(o, policy_));
            }
        }
        return lowest;
    }

    void drain_surplus(const base::zone_id& zone, zone_slots current, const zone_slots& required) {
        std::vector<const server*> candidates;
        int servers = 0;
        int draining = 0;
        for (const auto& s : servers_) {
            if (s.zone != zone) {
                continue;
            }
            servers += s.state != server_state::draining ? 1 : 0;
            draining += s.state == server_state::draining ? 1 : 0;
            if (s.state == server_state::active && offer_of(s) != nullptr) {
                candidates.push_back(&s);
            }
        }
        // Servers with the highest price per slot are drained first, at equal prices those that run the
        // fewest requests.
        std::stable_sort(candidates.begin(), candidates.end(), [&](const server* a, const server* b) {
            const double price_a = effective_price_per_slot_hour(*offer_of(*a), policy_);
            const double price_b = effective_price_per_slot_hour(*offer_of(*b), policy_);
            return price_a != price_b ? price_a > price_b : a->running_requests < b->running_requests;
        });
        const int max_draining =
            std::max(1, static_cast<int>(policy_.max_draining_share * (servers + draining)));
        for (const server* s : candidates) {
            if (draining >= max_draining || servers <= policy_.min_servers_per_zone) {
                return;
            }
            if (!is_needed(*offer_of(*s), current, required)) {
                actions_.emplace_back(drain_server{s->id});
                ++draining;
                --servers;
            }
        }
    }

    // Returns false and subtracts the server's slots from `current` if the remaining slots cover the required
    // ones; otherwise returns true.
    static bool is_needed(const offer& o, zone_slots& current, const zone_slots& required) {
        zone_slots remaining = current;
        (o.reclaimable ? remaining.reclaimable : remaining.reserved) -= o.slots;
        const zone_slots shortfall = remaining.shortfall_for(required);
        if (shortfall.reserved > 0 || shortfall.reclaimable > 0) {
            return true;
        }
        current = remaining;
        return false;
    }

    policy policy_;
    base::time_point now_;
    std::vector<offer> offers_;
    std::vector<server> servers_;
    std::map<std::string, zone_state> zones_;  // by name, so that every planner decides in the same order
    std::vector<action> actions_;
};

capacity_planner::capacity_planner(policy p) : state_{std::make_unique<state>(p)} {}
capacity_planner::~capacity_planner() = default;
capacity_planner::capacity_planner(capacity_planner&&) noexcept = default;
capacity_planner& capacity_planner::operator=(capacity_planner&&) noexcept = default;

std::vector<action> capacity_planner::handle(const event& e, base::time_point now) {
    return state_->handle(e, now);
}

}  // namespace chicorygap::scaling
