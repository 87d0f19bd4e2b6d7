#include "scaling/planner.h"

#include "peak_window.h"
#include "zone_plan.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace chicorygap::scaling {

class planner::state {
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
        peak_window reserved;
        peak_window flexible;
        std::optional<base::time_point> last_reclaim;
    };

    void on(const offers_changed& e) { offers_ = e.offers; }
    void on(const servers_changed& e) { servers_ = e.servers; }
    void on(const policy_changed& e) { policy_ = e.value; }
    void on(const server_reclaimed& e) { zone_of(e.zone).last_reclaim = now_; }
    void on(const demand_measured& e) {
        for (const auto& d : e.zones) {
            zone_state& z = zone_of(d.zone);
            z.reserved.add(d.reserved_slots, policy_.release_delay, now_);
            z.flexible.add(d.flexible_slots, policy_.release_delay, now_);
        }
    }
    void on(const tick&) {
        release_drained();
        auto offers = offers_;
        zone_slots unmet;
        for (const auto& [name, z] : zones_) {
            const zone_slots left = plan_zone(z, offers);
            unmet.reserved += left.reserved;
            unmet.reclaimable += left.reclaimable;
        }
        if (unmet.reserved + unmet.reclaimable > 0) {
            // Other zones may already hold servers for this zone's work; those are not drained either.
            use_surplus(unmet);
            request_elsewhere(offers, unmet);
            return;
        }
        for (const auto& [name, z] : zones_) {
            drain_surplus(z.id, slots_of(z.id), wanted_in(z));
        }
    }

    zone_state& zone_of(const base::zone_id& id) {
        zone_state& z = zones_[id.str()];
        z.id = id;
        return z;
    }

    [[nodiscard]] const offer* kind_of(const server& s) const {
        const auto it = std::find_if(offers_.begin(), offers_.end(),
                                     [&](const offer& o) { return o.kind == s.kind && o.zone == s.zone; });
        return it == offers_.end() ? nullptr : &*it;
    }

    void release_drained() {
        for (const auto& s : servers_) {
            if (s.state == server_state::draining && s.running == 0) {
                actions_.emplace_back(release_server{s.id});
            }
        }
    }

    [[nodiscard]] zone_slots slots_of(const base::zone_id& zone) const {
        zone_slots sum;
        for (const auto& s : servers_) {
            const offer* o = kind_of(s);
            if (s.zone == zone && s.state != server_state::draining && o != nullptr) {
                (o->reclaimable ? sum.reclaimable : sum.reserved) += o->slots;
            }
        }
        return sum;
    }

    // Returns the slots that the zone cannot provide.
    zone_slots plan_zone(const zone_state& z, std::vector<offer>& offers) {
        const zone_slots wanted = wanted_in(z);
        zone_slots missing = slots_of(z.id).missing_for(wanted);
        const double total = wanted.reserved + wanted.reclaimable;
        if (missing.reserved + missing.reclaimable <= total * (1 - 1 / policy_.request_tolerance)) {
            return {};
        }
        keep_draining(z.id, missing);
        request(choose_offers(offers, z.id, false, missing.reserved, policy_));
        request(choose_offers(offers, z.id, reclaimable_allowed(z), missing.reclaimable, policy_));
        return missing;
    }

    [[nodiscard]] bool reclaimable_allowed(const zone_state& z) const {
        return !z.last_reclaim || now_ - *z.last_reclaim >= policy_.reclaim_backoff;
    }

    [[nodiscard]] zone_slots wanted_in(const zone_state& z) const {
        const demand d{z.id, z.reserved.peak(), z.flexible.peak()};
        return wanted_slots(d, zones_.size(), reclaimable_allowed(z), policy_);
    }

    void use_surplus(zone_slots& unmet) const {
        for (const auto& [name, z] : zones_) {
            const zone_slots wanted = wanted_in(z);
            const zone_slots have = slots_of(z.id);
            double surplus = std::max(have.reserved - wanted.reserved, 0.0);
            const double reserved = std::min(surplus, unmet.reserved);
            unmet.reserved -= reserved;
            surplus += std::max(have.reclaimable - wanted.reclaimable, 0.0) - reserved;
            unmet.reclaimable = std::max(unmet.reclaimable - std::max(surplus, 0.0), 0.0);
        }
    }

    void request(const std::vector<request_servers>& r) {
        actions_.insert(actions_.end(), r.begin(), r.end());
    }

    // A draining server that still runs requests is available at once; a new one needs `start_time`.
    void keep_draining(const base::zone_id& zone, zone_slots& missing) {
        for (const auto& s : servers_) {
            const offer* o = kind_of(s);
            if (s.zone != zone || s.state != server_state::draining || s.running == 0 || o == nullptr) {
                continue;
            }
            double& slots = o->reclaimable ? missing.reclaimable : missing.reserved;
            if (slots > 0) {
                actions_.emplace_back(keep_server{s.id});
                slots = std::max(slots - o->slots, 0.0);
            }
        }
    }

    void request_elsewhere(std::vector<offer>& offers, zone_slots& unmet) {
        std::vector<base::zone_id> order;
        for (const auto& [name, z] : zones_) {
            order.push_back(z.id);
        }
        std::stable_sort(order.begin(), order.end(), [&](const auto& a, const auto& b) {
            return lowest_price(offers, a) < lowest_price(offers, b);
        });
        for (const auto& zone : order) {
            request(choose_offers(offers, zone, false, unmet.reserved, policy_));
            request(choose_offers(offers, zone, false, unmet.reclaimable, policy_));
        }
    }

    [[nodiscard]] double lowest_price(const std::vector<offer>& offers, const base::zone_id& zone) const {
        double best = 1e300;
        for (const auto& o : offers) {
            if (o.zone == zone && o.available > 0 && !o.reclaimable) {
                best = std::min(best, effective_price(o, policy_));
            }
        }
        return best;
    }

    void drain_surplus(const base::zone_id& zone, zone_slots have, const zone_slots& wanted) {
        std::vector<const server*> candidates;
        int servers = 0;
        int draining = 0;
        for (const auto& s : servers_) {
            if (s.zone != zone) {
                continue;
            }
            servers += s.state != server_state::draining ? 1 : 0;
            draining += s.state == server_state::draining ? 1 : 0;
            if (s.state == server_state::active && kind_of(s) != nullptr) {
                candidates.push_back(&s);
            }
        }
        // The most expensive slots go first, among equal ones the server with the least work.
        std::stable_sort(candidates.begin(), candidates.end(), [&](const server* a, const server* b) {
            const double x = effective_price(*kind_of(*a), policy_);
            const double y = effective_price(*kind_of(*b), policy_);
            return x != y ? x > y : a->running < b->running;
        });
        const int limit = std::max(1, static_cast<int>(policy_.max_draining_share * (servers + draining)));
        for (const server* s : candidates) {
            if (draining >= limit || servers <= policy_.min_servers_per_zone) {
                return;
            }
            if (!needed(*kind_of(*s), have, wanted)) {
                actions_.emplace_back(drain_server{s->id});
                ++draining;
                --servers;
            }
        }
    }

    // Takes the server's slots out of `have` when the rest still covers the demand.
    static bool needed(const offer& o, zone_slots& have, const zone_slots& wanted) {
        zone_slots rest = have;
        (o.reclaimable ? rest.reclaimable : rest.reserved) -= o.slots;
        const zone_slots missing = rest.missing_for(wanted);
        if (missing.reserved > 0 || missing.reclaimable > 0) {
            return true;
        }
        have = rest;
        return false;
    }

    policy policy_;
    base::time_point now_;
    std::vector<offer> offers_;
    std::vector<server> servers_;
    std::map<std::string, zone_state> zones_;  // by name, so that every planner decides in the same order
    std::vector<action> actions_;
};

planner::planner(policy p) : state_{std::make_unique<state>(p)} {}
planner::~planner() = default;
planner::planner(planner&&) noexcept = default;
planner& planner::operator=(planner&&) noexcept = default;

std::vector<action> planner::handle(const event& e, base::time_point now) {
    return state_->handle(e, now);
}

}  // namespace chicorygap::scaling
