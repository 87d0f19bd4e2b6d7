/// @file
/// Rate of an amount with exponential decay.
#pragma once

#include "base/time.h"

namespace chicorygap::scheduling {

/// Amount per second, averaged with exponentially decaying weights.
///
/// Load reports are outdated when they arrive: the server has processed a prefill queue that was reported
/// half a second ago, but the rate at which the queue was filled is still valid.
class decaying_rate {
public:
    void add(double amount, base::time_point now);

    [[nodiscard]] double per_second(base::time_point now) const;

private:
    [[nodiscard]] double decayed_amount(base::time_point now) const;

    double amount_ = 0;
    base::time_point updated_at_;
};

}  // namespace chicorygap::scheduling
