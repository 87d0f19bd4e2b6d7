#include "pressure_tracker.h"

#include <algorithm>

namespace chicorygap::admission {

namespace {

// Gossip repeats the level every second. The level must expire soon after the connection to a peer is lost.
constexpr base::duration peer_level_lifetime = std::chrono::seconds{5};
constexpr base::tier lowest_tier{base::tier_count - 1};

}  // namespace

pressure_tracker::pressure_tracker(base::duration hold_time)
    : hold_time_{hold_time}, closed_until_{}, peer_level_{lowest_tier}, peer_level_expiry_{} {
    closed_until_.fill(base::time_point::min());
}

void pressure_tracker::record_rejection(base::tier t, base::time_point now) {
    closed_until_.at(t.level) = now + hold_time_;
}

void pressure_tracker::set_peer_level(base::tier level, base::time_point now) {
    peer_level_ = level;
    peer_level_expiry_ = now + peer_level_lifetime;
}

base::tier pressure_tracker::local_level(base::time_point now) const {
    const auto it = std::find_if(closed_until_.begin(), closed_until_.end(),
                                 [&](base::time_point until) { return until > now; });
    return it == closed_until_.end() ? lowest_tier
                                     : base::tier{static_cast<std::uint8_t>(it - closed_until_.begin())};
}

base::tier pressure_tracker::effective_level(base::time_point now) const {
    const base::tier local = local_level(now);
    return now < peer_level_expiry_ && peer_level_.outranks(local) ? peer_level_ : local;
}

base::duration pressure_tracker::time_until_admitted(base::tier t, base::time_point now) const {
    base::time_point until = now;
    for (std::uint8_t level = 0; level < t.level; ++level) {
        until = std::max(until, closed_until_.at(level));
    }
    if (now < peer_level_expiry_ && peer_level_.outranks(t)) {
        until = std::max(until, now + hold_time_);
    }
    return until - now;
}

}  // namespace chicorygap::admission
