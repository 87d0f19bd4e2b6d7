/// @file
/// Pressure level of this daemon and its peers.
#pragma once

#include "base/tier.h"
#include "base/time.h"

#include <array>

namespace chicorygap::admission {

/// Lowest tier still admitted. An overload refusal of a tier closes all lower tiers for a hold time, here
/// and, by gossip, on the peers: no daemon admits a lower tier while another sheds a higher one (P1).
class pressure {
public:
    explicit pressure(base::duration hold);

    void set_hold(base::duration hold) { hold_ = hold; }
    void record_refusal(base::tier t, base::time_point now);
    void set_peer_level(base::tier level, base::time_point now);

    [[nodiscard]] base::tier own_level(base::time_point now) const;
    [[nodiscard]] base::tier level(base::time_point now) const;
    /// @return time until the tier is admitted again if nothing else is refused.
    [[nodiscard]] base::duration closed_for(base::tier t, base::time_point now) const;

private:
    base::duration hold_;
    std::array<base::time_point, base::tier_count> closed_until_;  // by the level of the refused tier
    base::tier peer_level_;
    base::time_point peer_until_;
};

}  // namespace chicorygap::admission
