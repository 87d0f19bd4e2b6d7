#include "pressure.h"

#include <algorithm>

namespace chicorygap::admission {

namespace {

// Gossip repeats the level every second; a peer's level must not outlive a lost peer for long.
constexpr base::duration peer_level_lifetime = std::chrono::seconds{5};
constexpr base::tier lowest{base::tier_count - 1};

}  // namespace

pressure::pressure(base::duration hold) : hold_{hold}, closed_until_{}, peer_level_{lowest}, peer_until_{} {
    closed_until_.fill(base::time_point::min());
}

void pressure::record_refusal(base::tier t, base::time_point now) {
    closed_until_.at(t.level) = now + hold_;
}

void pressure::set_peer_level(base::tier level, base::time_point now) {
    peer_level_ = level;
    peer_until_ = now + peer_level_lifetime;
}

base::tier pressure::own_level(base::time_point now) const {
    const auto it = std::find_if(closed_until_.begin(), closed_until_.end(),
                                 [&](base::time_point until) { return until > now; });
    return it == closed_until_.end() ? lowest
                                     : base::tier{static_cast<std::uint8_t>(it - closed_until_.begin())};
}

base::tier pressure::level(base::time_point now) const {
    const base::tier own = own_level(now);
    return now < peer_until_ && peer_level_.outranks(own) ? peer_level_ : own;
}

base::duration pressure::closed_for(base::tier t, base::time_point now) const {
    base::time_point until = now;
    for (std::uint8_t level = 0; level < t.level; ++level) {
        until = std::max(until, closed_until_.at(level));
    }
    if (now < peer_until_ && peer_level_.outranks(t)) {
        until = std::max(until, now + hold_);
    }
    return until - now;
}

}  // namespace chicorygap::admission
