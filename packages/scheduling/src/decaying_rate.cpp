#include "decaying_rate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace chicorygap::scheduling {

namespace {

/// Time after which the weight of an amount has dropped to 1/e. A shorter time makes the rate follow single
/// prompts, a longer one misses bursts.
constexpr std::chrono::duration<double> time_constant{1.0};

}  // namespace

void decaying_rate::add(double amount, base::time_point now) {
    amount_ = decayed_amount(now) + amount;
    updated_at_ = now;
}

double decaying_rate::per_second(base::time_point now) const {
    return decayed_amount(now) / time_constant.count();
}

double decaying_rate::decayed_amount(base::time_point now) const {
    const std::chrono::duration<double> elapsed = std::max(base::duration{}, now - updated_at_);
    return amount_ == 0 ? 0 : amount_ * std::exp(-elapsed / time_constant);
}

}  // namespace chicorygap::scheduling
