#include "base/decaying_rate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace chicorygap::base {

void decaying_rate::add(double amount, time_point now) {
    amount_ = decayed_amount(now) + amount;
    updated_at_ = now;
}

double decaying_rate::per_second(time_point now) const {
    return decayed_amount(now) / time_constant_.count();
}

double decaying_rate::decayed_amount(time_point now) const {
    const std::chrono::duration<double> elapsed = std::max(duration{}, now - updated_at_);
    return amount_ == 0 ? 0 : amount_ * std::exp(-elapsed / time_constant_);
}

}  // namespace chicorygap::base
