#include "pressure_table.h"

#include <algorithm>
#include <chrono>

namespace chicorygap::membership {

namespace {

// Gossip takes about four seconds to reach 90 daemons; with a shorter lifetime the tier would expire and
// return repeatedly at the last daemons reached.
constexpr base::duration peer_tier_lifetime = std::chrono::seconds{5};

}  // namespace

void pressure_table::set_local(const std::vector<local_service>& services) {
    std::map<std::string, state> next;
    for (const auto& s : services) {
        const auto it = services_.find(s.service.str());
        auto& entry = next[s.service.str()];
        entry = it == services_.end() ? state{.last_reported_tier = s.lowest_admitted_tier} : it->second;
        entry.version = s.version;
        entry.local_tier = s.lowest_admitted_tier;
    }
    services_ = std::move(next);
}

void pressure_table::merge(const service_digest& d, base::time_point now) {
    const auto it = services_.find(d.service.str());
    if (it == services_.end()) {
        return;
    }
    auto& s = it->second;
    const auto reported_at = now - d.tier_age;
    const bool expired = !s.has_peer_tier || now - s.peer_tier_time > peer_tier_lifetime;
    const bool supersedes_peer_tier =
        d.lowest_admitted_tier < s.peer_tier ||
        (d.lowest_admitted_tier == s.peer_tier && reported_at > s.peer_tier_time);
    if (d.tier_age <= peer_tier_lifetime && (expired || supersedes_peer_tier)) {
        s.has_peer_tier = true;
        s.peer_tier = d.lowest_admitted_tier;
        s.peer_tier_time = reported_at;
    }
}

std::vector<service_digest> pressure_table::next_digests(std::size_t n, base::time_point now) {
    std::vector<service_digest> out;
    while (out.size() < std::min(n, services_.size())) {
        auto it = services_.upper_bound(last_sent_service_);
        it = it == services_.end() ? services_.begin() : it;
        last_sent_service_ = it->first;
        const auto& s = it->second;
        const auto age = peer_tier_is_stricter(s, now) ? now - s.peer_tier_time : base::duration{};
        out.push_back({base::service_id{it->first}, s.version, effective_tier(s, now), age});
    }
    return out;
}

std::vector<pressure_changed> pressure_table::take_changes(base::time_point now) {
    std::vector<pressure_changed> out;
    for (auto& [service, s] : services_) {
        if (const auto tier = effective_tier(s, now); tier != s.last_reported_tier) {
            s.last_reported_tier = tier;
            out.push_back({base::service_id{service}, tier});
        }
    }
    return out;
}

std::uint8_t pressure_table::lowest_admitted_tier(const base::service_id& service,
                                                  base::time_point now) const {
    const auto it = services_.find(service.str());
    return it == services_.end() ? std::uint8_t{0} : effective_tier(it->second, now);
}

bool pressure_table::peer_tier_is_stricter(const state& s, base::time_point now) {
    return s.has_peer_tier && now - s.peer_tier_time <= peer_tier_lifetime && s.peer_tier < s.local_tier;
}

std::uint8_t pressure_table::effective_tier(const state& s, base::time_point now) {
    return peer_tier_is_stricter(s, now) ? s.peer_tier : s.local_tier;
}

}  // namespace chicorygap::membership
