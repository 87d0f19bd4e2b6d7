#include "catalog/evacuation_table.h"

#include <algorithm>

namespace chicorygap::catalog {

bool evacuation_table::observe(const std::vector<evacuation_entry>& listed, base::store_position as_of,
                               base::time_point now) {
    if (era_ && as_of.era < *era_) {
        return false;
    }
    // Era 0 says that the store has told none yet.
    if (era_ && *era_ != 0 && as_of.era > *era_) {
        record_restoration(now);
    }
    era_ = as_of.era;
    listed_ = listed;
    return apply(now);
}

bool evacuation_table::expire(base::time_point now) {
    std::erase_if(withdrawn_, [&](const auto& w) { return now - w.second.at > memory_time; });
    return apply(now);
}

void evacuation_table::record_restoration(base::time_point now) {
    restored_at_ = now;
    for (auto& [zone, k] : in_force_) {
        // A second return must not extend the time of an entry that is missing since the first one.
        k.kept_until = k.kept_until.value_or(now + doubt_time);
    }
}

bool evacuation_table::from_copy(const evacuation_entry& e, base::time_point now) const {
    const auto it = withdrawn_.find(e.zone);
    return restored_at_ && now - *restored_at_ < doubt_time && it != withdrawn_.end() &&
           it->second.revisions.contains(e.revision);
}

bool evacuation_table::put_in_force(const evacuation_entry& e, base::time_point now) {
    auto& k = in_force_[e.zone];
    const bool added = k.revisions.empty();
    if (added) {
        k.current = {.zone = e.zone, .since = now};
    }
    k.current.revision = e.revision;
    k.current.kept = false;
    k.kept_until.reset();
    k.revisions.insert(e.revision);
    if (added && changed_) {
        changed_({k.current, true});
    }
    return added;
}

void evacuation_table::withdraw(const known_evacuation& k, base::time_point now) {
    auto& w = withdrawn_[k.current.zone];
    w.revisions.insert(k.revisions.begin(), k.revisions.end());
    w.at = now;
    if (changed_) {
        changed_({k.current, false});
    }
}

bool evacuation_table::apply(base::time_point now) {
    bool changed = false;
    std::set<base::zone_id> listed;
    for (const auto& e : listed_) {
        if (in_force_.contains(e.zone) || !from_copy(e, now)) {
            listed.insert(e.zone);
            changed = put_in_force(e, now) || changed;
        }
    }
    for (auto it = in_force_.begin(); it != in_force_.end();) {
        auto& k = it->second;
        k.current.kept = !listed.contains(it->first) && k.kept_until && now < *k.kept_until;
        if (listed.contains(it->first) || k.current.kept) {
            ++it;
            continue;
        }
        const auto ended = std::move(k);
        it = in_force_.erase(it);
        withdraw(ended, now);
        changed = true;
    }
    return changed;
}

std::vector<evacuation> evacuation_table::evacuations() const {
    std::vector<evacuation> out;
    out.reserve(in_force_.size());
    for (const auto& [zone, k] : in_force_) {
        out.push_back(k.current);
    }
    return out;
}

evacuation_state evacuation_table::state(base::time_point now) const {
    evacuation_state out;
    for (const auto& [zone, k] : in_force_) {
        out.evacuated.insert(zone);
    }
    for (const auto& [zone, w] : withdrawn_) {
        if (!in_force_.contains(zone) && now - w.at <= memory_time) {
            out.returned.emplace(zone, w.at);
        }
    }
    return out;
}

}  // namespace chicorygap::catalog
