#include "selection.h"

#include <algorithm>
#include <cmath>

namespace chicorygap::routing {

namespace {

// Cheap servers attract work that may run on them, but never at twice the load of others, because engines
// slow down as their batch grows.
constexpr double least_cost_factor = 0.5;
constexpr double greatest_cost_factor = 2.0;
// Weight of an ejected server that is considered as the last resort.
constexpr double last_resort_weight = 0.1;

bool is_protected(const route_request& r) {
    return r.urgent || !r.idempotent;
}

bool needs_room(candidate_filter f) {
    return f == candidate_filter::reserved_with_room || f == candidate_filter::any_with_room;
}

bool needs_reserved(candidate_filter f) {
    return f == candidate_filter::reserved_with_room || f == candidate_filter::reserved;
}

bool excluded(const route_request& r, const server& s) {
    return !r.excluded.empty() && std::ranges::find(r.excluded, s.id) != r.excluded.end();
}

}  // namespace

double usable_slots(const server& s, double weight) {
    if (weight == 1) {
        return s.slots;
    }
    return weight == 0 ? 0 : std::max(1.0, std::floor(weight * s.slots));
}

std::optional<selected_server> selection::select(const server_table& table, const server_group& group,
                                                 const prefix_index& prefixes, const route_request& r,
                                                 candidate_filter filter, const base::random_function& random,
                                                 base::time_point now) {
    collect(table, group, r, filter, now);
    if (candidates_.empty()) {
        return std::nullopt;
    }
    const auto* cached = by_prefix(prefixes, r, now);
    const auto& c = cached != nullptr ? *cached : by_load(random);
    const auto& s = table.at(c.server);
    return selected_server{s.id, s.zone, cached != nullptr, c.has_free_slot};
}

void selection::collect(const server_table& table, const server_group& group, const route_request& r,
                        candidate_filter filter, base::time_point now) {
    candidates_.clear();
    total_load_ = 0;
    total_capacity_ = 0;
    const bool cost_matters = !is_protected(r);
    for (const auto i : group.members) {
        const auto& s = table.at(i);
        if (s.draining || (needs_reserved(filter) && s.reclaimable) || excluded(r, s)) {
            continue;
        }
        double weight = s.state.weight(now);
        if (weight == 0 && filter != candidate_filter::last_resort) {
            continue;
        }
        const double load = s.load.load(now);
        const bool room = load < usable_slots(s, weight);
        weight = weight == 0 ? last_resort_weight : weight;
        if (needs_room(filter) && !room) {
            continue;
        }
        const double capacity = weight * s.capacity;
        const double factor =
            cost_matters ? std::clamp(s.cost, least_cost_factor, greatest_cost_factor) : 1.0;
        candidates_.push_back({i, load, capacity, factor, room});
        total_load_ += load;
        total_capacity_ += capacity;
    }
}

const selection::candidate* selection::by_prefix(const prefix_index& prefixes, const route_request& r,
                                                 base::time_point now) {
    // Consistent hashing with bounded loads: a server may hold this factor of its share of the load, rounded
    // up to whole requests, so that an idle group still uses affinity.
    const double mean = (total_load_ + 1) / total_capacity_;
    for (auto it = r.prefixes.rbegin(); it != r.prefixes.rend(); ++it) {
        prefixes.holders(*it, now, holders_);
        const candidate* best = nullptr;
        for (const auto s : holders_) {
            const auto* c = find(s);
            const bool fits =
                c != nullptr && c->load + 1 <= std::ceil(options_->affinity_imbalance * mean * c->capacity);
            if (fits && (best == nullptr || c->score() < best->score())) {
                best = c;
            }
        }
        if (best != nullptr) {
            return best;
        }
    }
    return nullptr;
}

const selection::candidate& selection::by_load(const base::random_function& random) const {
    const auto n = candidates_.size();
    const auto& first = candidates_[base::pick(random, n)];
    if (n == 1) {
        return first;
    }
    const auto skip = static_cast<std::size_t>(&first - candidates_.data());
    const auto other = base::pick(random, n - 1);
    const auto& second = candidates_[other < skip ? other : other + 1];
    return second.score() < first.score() ? second : first;
}

const selection::candidate* selection::find(server_index s) const {
    const auto it = std::ranges::lower_bound(candidates_, s, {}, &candidate::server);
    return it != candidates_.end() && it->server == s ? &*it : nullptr;
}

}  // namespace chicorygap::routing
