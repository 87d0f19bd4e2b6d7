/// @file
/// Pressure level (lowest admitted tier) of this daemon and its peers.
#pragma once

#include "base/tier.h"
#include "base/time.h"

#include <array>

namespace chicorygap::admission {

/// Tracks the lowest tier that is still admitted.
///
/// When a request is rejected due to overload, all tiers below its tier are closed for the hold time, on this
/// daemon and, through gossip, on the peers. No daemon admits a lower tier while another one sheds a higher
/// tier.
class pressure_tracker {
public:
    explicit pressure_tracker(base::duration hold_time);

    void set_hold_time(base::duration hold_time) { hold_time_ = hold_time; }
    /// Closes all tiers below `t` for the hold time.
    void record_rejection(base::tier t, base::time_point now);
    /// @param level lowest tier that every reachable peer admits. Expires unless it is set again.
    void set_peer_level(base::tier level, base::time_point now);

    /// @return lowest tier that is admitted based on the rejections of this daemon.
    [[nodiscard]] base::tier local_level(base::time_point now) const;
    /// @return the local level or the level of the peers, whichever is the higher tier.
    [[nodiscard]] base::tier effective_level(base::time_point now) const;
    /// @return time until the tier is admitted again if no more requests are rejected.
    [[nodiscard]] base::duration time_until_admitted(base::tier t, base::time_point now) const;

private:
    base::duration hold_time_;
    std::array<base::time_point, base::tier_count> closed_until_;  // by level of the rejected tier
    base::tier peer_level_;
    base::time_point peer_level_expiry_;
};

}  // namespace chicorygap::admission
