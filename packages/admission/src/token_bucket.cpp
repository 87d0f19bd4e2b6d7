#include "token_bucket.h"

#include <algorithm>

namespace chicorygap::admission {

namespace {

constexpr double burst_seconds = 1;
// The bucket must hold at least one unit; otherwise a rate below 1/s would never allow a charge.
constexpr double min_burst_units = 1;
constexpr double max_wait_seconds = 3600;

}  // namespace

void token_bucket::set_rate(std::optional<double> rate, base::time_point now) {
    refill(now);
    rate_ = rate;
    const double burst = std::max(rate.value_or(0) * burst_seconds, min_burst_units);
    level_ = initialised_ ? std::min(level_, burst) : burst;
    initialised_ = true;
    refilled_at_ = now;
}

void token_bucket::refill(base::time_point now) {
    if (!rate_) {
        level_ = 0;
        return;
    }
    const double elapsed = std::max(std::chrono::duration<double>{now - refilled_at_}.count(), 0.0);
    level_ = std::min(level_ + elapsed * *rate_, std::max(*rate_ * burst_seconds, min_burst_units));
    refilled_at_ = now;
}

bool token_bucket::allows_charge(base::time_point now) {
    refill(now);
    // The tolerance lets a full bucket of one unit pass despite rounding errors.
    return !rate_ || (*rate_ > 0 && level_ > min_burst_units - 1e-9);
}

base::duration token_bucket::time_until_allowed(base::time_point now) {
    if (allows_charge(now)) {
        return {};
    }
    const double wait = *rate_ > 0 ? (min_burst_units - level_) / *rate_ : max_wait_seconds;
    const std::chrono::duration<double> d{std::min(wait, max_wait_seconds)};
    return std::chrono::duration_cast<base::duration>(d) + std::chrono::milliseconds{1};
}

}  // namespace chicorygap::admission
