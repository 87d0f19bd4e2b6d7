/// @file
/// Rate limiter whose level may become negative.
#pragma once

#include "base/time.h"

#include <optional>

namespace chicorygap::admission {

/// Token bucket that one charge may overdraw. A request larger than the burst can therefore pass, and later
/// requests wait until the level has recovered. The long-term rate is exact.
class token_bucket {
public:
    /// @param rate units per second; absent means no limit. The level is capped at the new burst size.
    void set_rate(std::optional<double> rate, base::time_point now);

    /// @return true if a charge is allowed now.
    bool allows_charge(base::time_point now);
    void charge(double units) { level_ -= units; }
    /// @return time until `allows_charge` returns true; zero if it does now.
    base::duration time_until_allowed(base::time_point now);

private:
    void refill(base::time_point now);

    std::optional<double> rate_;
    double level_ = 0;
    bool initialised_ = false;
    base::time_point refilled_at_;
};

}  // namespace chicorygap::admission
