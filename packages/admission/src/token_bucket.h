/// @file
/// Rate limit with debt.
#pragma once

#include "base/time.h"

#include <optional>

namespace chicorygap::admission {

/// Token bucket that may be overdrawn by one charge, so that a request larger than the burst can pass
/// and later ones wait until the debt is paid. The long-term rate is exact.
class token_bucket {
public:
    /// @param rate units per second; absent means unlimited. The level is kept within the new burst.
    void set_rate(std::optional<double> rate, base::time_point now);

    /// @return true when a charge is allowed now.
    bool allows(base::time_point now);
    void charge(double units) { level_ -= units; }
    /// @return time until `allows` is true.
    base::duration time_until_allowed(base::time_point now);

private:
    void refill(base::time_point now);

    std::optional<double> rate_;
    double level_ = 0;
    bool initialised_ = false;
    base::time_point at_;
};

}  // namespace chicorygap::admission
