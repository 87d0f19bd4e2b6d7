#include "server_selector.h"

#include <algorithm>
#include <cmath>

namespace chicorygap::routing {

namespace {

// Cheaper servers are preferred for requests that may run on reclaimable servers. The bounds keep the load of
// a cheaper server below twice that of others, because engines slow down as their batch grows.
constexpr double min_cost_factor = 0.5;
constexpr double max_cost_factor = 2.0;
// Weight of an ejected server when no other server is eligible.
constexpr double ejected_weight = 0.1;

bool avoids_reclaimable(const route_request& r) {
    return r.urgent || !r.idempotent;
}

bool requires_free_slot(candidate_filter f) {
    return f == candidate_filter::reserved_with_free_slot || f == candidate_filter::any_with_free_slot;
}

bool requires_reserved(candidate_filter f) {
    return f == candidate_filter::reserved_with_free_slot || f == candidate_filter::reserved;
}

bool is_excluded(const route_request& r, const server& s) {
    return !r.excluded.empty() && std::ranges::find(r.excluded, s.id) != r.excluded.end();
}

}  // namespace

double usable_slots(const server& s, double weight) {
    if (weight == 1) {
        return s.slots;
    }
    return weight == 0 ? 0 : std::max(1.0, std::floor(weight * s.slots));
}

std::optional<selected_server> server_selector::select(const server_table& table, const server_group& group,
                                                       const prefix_index& prefixes, const route_request& r,
                                                       candidate_filter filter,
                                                       const base::random_function& random,
                                                       base::time_point now) {
    collect(table, group, r, filter, now);
    if (candidates_.empty()) {
        return std::nullopt;
    }
    const auto* cached = select_by_prefix(prefixes, r, now);
    const auto& c = cached != nullptr ? *cached : select_by_load(random);
    const auto& s = table.at(c.server);
    return selected_server{s.id, s.zone, cached != nullptr, c.has_free_slot};
}

void server_selector::collect(const server_table& table, const server_group& group, const route_request& r,
                              candidate_filter filter, base::time_point now) {
    candidates_.clear();
    total_load_ = 0;
    total_capacity_ = 0;
    const bool use_cost = !avoids_reclaimable(r);
    for (const auto i : group.members) {
        const auto& s = table.at(i);
        if (s.draining || (requires_reserved(filter) && s.reclaimable) || is_excluded(r, s)) {
            continue;
        }
        double weight = s.health.weight(now);
        if (weight == 0 && filter != candidate_filter::any_including_ejected) {
            continue;
        }
        const double load = s.load.estimate(now);
        const bool has_free_slot = load < usable_slots(s, weight);
        weight = weight == 0 ? ejected_weight : weight;
        if (requires_free_slot(filter) && !has_free_slot) {
            continue;
        }
        const double capacity = weight * s.capacity;
        const double factor = use_cost ? std::clamp(s.cost, min_cost_factor, max_cost_factor) : 1.0;
        candidates_.push_back({i, load, capacity, factor, has_free_slot});
        total_load_ += load;
        total_capacity_ += capacity;
    }
}

const server_selector::candidate* server_selector::select_by_prefix(const prefix_index& prefixes,
                                                                    const route_request& r,
                                                                    base::time_point now) {
    // As in consistent hashing with bounded loads, the load of a server may exceed its share by the
    // configured factor. The bound is rounded up to whole requests, so that affinity also works in an idle
    // group.
    const double mean = (total_load_ + 1) / total_capacity_;
    for (auto it = r.prefixes.rbegin(); it != r.prefixes.rend(); ++it) {
        prefixes.find_servers(*it, now, cached_servers_);
        const candidate* best = nullptr;
        for (const auto s : cached_servers_) {
            const auto* c = find_candidate(s);
            const bool within_bound =
                c != nullptr &&
                c->load + 1 <= std::ceil(options_->max_affinity_load_ratio * mean * c->capacity);
            if (within_bound && (best == nullptr || c->score() < best->score())) {
                best = c;
            }
        }
        if (best != nullptr) {
            return best;
        }
    }
    return nullptr;
}

const server_selector::candidate& server_selector::select_by_load(const base::random_function& random) const {
    const auto n = candidates_.size();
    const auto& first = candidates_[base::pick(random, n)];
    if (n == 1) {
        return first;
    }
    const auto first_index = static_cast<std::size_t>(&first - candidates_.data());
    const auto other = base::pick(random, n - 1);
    const auto& second = candidates_[other < first_index ? other : other + 1];
    return second.score() < first.score() ? second : first;
}

const server_selector::candidate* server_selector::find_candidate(server_index s) const {
    const auto it = std::ranges::lower_bound(candidates_, s, {}, &candidate::server);
    return it != candidates_.end() && it->server == s ? &*it : nullptr;
}

}  // namespace chicorygap::routing
