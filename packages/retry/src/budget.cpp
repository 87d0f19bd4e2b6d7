#include "retry/budget.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace chicorygap::retry {

namespace {

std::size_t window_seconds(const budget_options& o) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(o.window).count();
    return std::clamp<std::size_t>(static_cast<std::size_t>(seconds), 1, budget::max_window_seconds);
}

/// Seconds that are kept. The window reaches into one more second than its length, in which retries may have
/// been spent.
std::size_t kept_seconds(const budget_options& o) {
    return window_seconds(o) + 1;
}

}  // namespace

budget::budget(budget_options o) : options_{o}, counts_by_second_(kept_seconds(o)) {}

void budget::set_options(budget_options o) {
    if (kept_seconds(o) == counts_by_second_.size()) {
        options_ = o;
        return;
    }
    *this = budget{o};
}

void budget::record_request(base::time_point now) {
    advance(now);
    current_counts().requests++;
    window_requests_++;
}

bool budget::try_spend(base::time_point now) {
    advance(now);
    if (compute_available() < 1) {
        return false;
    }
    current_counts().spent++;
    window_spent_++;
    return true;
}

int budget::available(base::time_point now) {
    advance(now);
    return compute_available();
}

int budget::compute_available() const {
    const double ratio = overloaded_ ? options_.overload_ratio : options_.ratio;
    const auto proportional =
        static_cast<std::int64_t>(std::floor(ratio * static_cast<double>(window_requests_) + 1e-9));
    const std::int64_t min_retries = overloaded_ ? 0 : options_.min_retries;
    return static_cast<int>(std::max<std::int64_t>(
        0, std::max(proportional, min_retries) + options_.extra_retries - window_spent_));
}

void budget::advance(base::time_point now) {
    const auto second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
    const auto steps =
        std::min<std::int64_t>(second - current_second_, static_cast<std::int64_t>(counts_by_second_.size()));
    for (std::int64_t i = 0; i < steps; i++) {
        current_second_ = second - steps + i + 1;
        // Of the oldest second only the retries count: part of it lies before the window.
        window_spent_ -= current_counts().spent;
        current_counts() = {};
        window_requests_ -= std::exchange(counts_of(current_second_ + 1).requests, 0);
    }
}

budget::second_counts& budget::current_counts() {
    return counts_of(current_second_);
}

budget::second_counts& budget::counts_of(std::int64_t second) {
    return counts_by_second_[static_cast<std::size_t>(second) % counts_by_second_.size()];
}

}  // namespace chicorygap::retry
