#include "decaying_rate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace chicorygap::scheduling {

namespace {

/// Time after which an amount counts a third. Shorter times follow single prompts, longer ones miss bursts.
constexpr std::chrono::duration<double> memory{1.0};

}  // namespace

void decaying_rate::add(double amount, base::time_point now) {
    amount_ = remaining(now) + amount;
    updated_ = now;
}

double decaying_rate::per_second(base::time_point now) const {
    return remaining(now) / memory.count();
}

double decaying_rate::remaining(base::time_point now) const {
    const std::chrono::duration<double> passed = std::max(base::duration{}, now - updated_);
    return amount_ == 0 ? 0 : amount_ * std::exp(-passed / memory);
}

}  // namespace chicorygap::scheduling
