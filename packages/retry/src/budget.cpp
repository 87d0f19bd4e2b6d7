#include "retry/budget.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace chicorygap::retry {

namespace {

std::size_t window_seconds(const budget_options& o) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(o.window).count();
    return std::clamp<std::size_t>(static_cast<std::size_t>(seconds), 1, budget::max_window_seconds);
}

}  // namespace

budget::budget(budget_options o) : options_{o}, seconds_(window_seconds(o)) {}

void budget::set_options(budget_options o) {
    if (window_seconds(o) == seconds_.size()) {
        options_ = o;
        return;
    }
    *this = budget{o};
}

void budget::record_request(base::time_point now) {
    advance(now);
    current().requests++;
    requests_++;
}

bool budget::try_spend(base::time_point now) {
    advance(now);
    if (available_now() < 1) {
        return false;
    }
    current().spent++;
    spent_++;
    return true;
}

int budget::available(base::time_point now) {
    advance(now);
    return available_now();
}

int budget::available_now() const {
    const double ratio = overloaded_ ? options_.overload_ratio : options_.ratio;
    const auto earned = static_cast<std::int64_t>(std::floor(ratio * static_cast<double>(requests_) + 1e-9));
    const std::int64_t least = overloaded_ ? 0 : options_.min_retries;
    return static_cast<int>(
        std::max<std::int64_t>(0, std::max(earned, least) + options_.extra_retries - spent_));
}

void budget::advance(base::time_point now) {
    const auto second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
    const auto steps = std::min<std::int64_t>(second - second_, static_cast<std::int64_t>(seconds_.size()));
    for (std::int64_t i = 0; i < steps; i++) {
        second_ = second - steps + i + 1;
        requests_ -= current().requests;
        spent_ -= current().spent;
        current() = {};
    }
}

budget::second_count& budget::current() {
    return seconds_[static_cast<std::size_t>(second_) % seconds_.size()];
}

}  // namespace chicorygap::retry
