/// @file
/// Rate of an amount with exponential decay.
#pragma once

#include "base/time.h"

namespace chicorygap::base {

/// Amount per second, averaged with exponentially decaying weights.
///
/// Usage: `decaying_rate r{std::chrono::seconds{1}}; r.add(1, now); r.per_second(now);`
class decaying_rate {
public:
    /// @param time_constant time after which the weight of an amount has dropped to 1/e. A shorter time makes
    /// the rate follow single amounts, a longer one misses bursts.
    explicit decaying_rate(duration time_constant) : time_constant_{time_constant} {}

    void add(double amount, time_point now);

    [[nodiscard]] double per_second(time_point now) const;

private:
    [[nodiscard]] double decayed_amount(time_point now) const;

    std::chrono::duration<double> time_constant_;
    double amount_ = 0;
    time_point updated_at_;
};

}  // namespace chicorygap::base
