/// @file
/// Retry budget.
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chicorygap::retry {

/// Settings of a retry budget.
struct budget_options {
    /// Retries and hedges allowed per request in the window.
    double ratio = 0.10;
    /// Ratio during overload, when retries would increase the load that causes them.
    double overload_ratio = 0.02;
    /// Minimum number of retries allowed per window without overload. Without it, a service with one request
    /// every few seconds could never retry.
    int min_retries = 3;
    /// Retries allowed per window in addition to the ratio or the minimum.
    int extra_retries = 0;
    /// Length of the sliding window, in whole seconds up to `budget::max_window_seconds`.
    base::duration window = std::chrono::seconds{60};
};

/// Retry budget of one service. Limits retries and hedges to a fraction of the requests in a sliding window.
///
/// Usage: `b.record_request(now); ... if (b.try_spend(now)) { start another attempt }`
class budget {
public:
    static constexpr std::size_t max_window_seconds = 60;

    explicit budget(budget_options o = {});

    /// Changes the settings. If the length of the window changes, all counts and the overload state are
    /// reset.
    void set_options(budget_options o);

    /// Counts one request of a caller. Retries and hedges are not counted as requests.
    void record_request(base::time_point now);

    /// @param overloaded true if the service sheds load; selects the ratio for overload and disables the
    /// minimum.
    void set_overloaded(bool overloaded) noexcept { overloaded_ = overloaded; }

    /// Spends one retry or hedge.
    /// @return false if the budget is exhausted; nothing is spent in that case.
    [[nodiscard]] bool try_spend(base::time_point now);

    /// @return number of retries and hedges that can be spent now.
    [[nodiscard]] int available(base::time_point now);

private:
    struct second_counts {
        std::uint32_t requests = 0;
        std::uint32_t spent = 0;
    };

    void advance(base::time_point now);
    [[nodiscard]] int compute_available() const;
    second_counts& current_counts();
    /// @return counts of one of the kept seconds. The second after the current one shares its place with the
    /// oldest one.
    second_counts& counts_of(std::int64_t second);

    budget_options options_;
    std::vector<second_counts> counts_by_second_;
    std::int64_t current_second_ = 0;
    std::int64_t window_requests_ = 0;
    std::int64_t window_spent_ = 0;
    bool overloaded_ = false;
};

}  // namespace chicorygap::retry
