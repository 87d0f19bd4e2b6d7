#include "token_bucket.h"

#include <algorithm>

namespace chicorygap::admission {

namespace {

constexpr double burst_seconds = 1;
// At least one unit must fit, otherwise rates below 1/s never allow anything.
constexpr double min_burst = 1;
constexpr double longest_wait_seconds = 3600;

}  // namespace

void token_bucket::set_rate(std::optional<double> rate, base::time_point now) {
    refill(now);
    rate_ = rate;
    const double burst = std::max(rate.value_or(0) * burst_seconds, min_burst);
    level_ = initialised_ ? std::min(level_, burst) : burst;
    initialised_ = true;
    at_ = now;
}

void token_bucket::refill(base::time_point now) {
    if (!rate_) {
        level_ = 0;
        return;
    }
    const double elapsed = std::max(std::chrono::duration<double>{now - at_}.count(), 0.0);
    level_ = std::min(level_ + elapsed * *rate_, std::max(*rate_ * burst_seconds, min_burst));
    at_ = now;
}

bool token_bucket::allows(base::time_point now) {
    refill(now);
    // A fully refilled bucket of one unit must pass despite rounding.
    return !rate_ || (*rate_ > 0 && level_ > min_burst - 1e-9);
}

base::duration token_bucket::time_until_allowed(base::time_point now) {
    if (allows(now)) {
        return {};
    }
    const double wait = *rate_ > 0 ? (min_burst - level_) / *rate_ : longest_wait_seconds;
    const std::chrono::duration<double> d{std::min(wait, longest_wait_seconds)};
    return std::chrono::duration_cast<base::duration>(d) + std::chrono::milliseconds{1};
}

}  // namespace chicorygap::admission
