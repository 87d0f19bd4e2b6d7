/// @file
/// Limit on retries relative to requests.
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chicorygap::retry {

/// Settings of a budget.
struct budget_options {
    /// Retries and hedges per recent request.
    double ratio = 0.10;
    /// The same under overload, when retries would add to the load that causes them.
    double overload_ratio = 0.02;
    /// Retries allowed per window without overload even when there were few requests; otherwise a service
    /// with a request every few seconds could never retry.
    int min_retries = 3;
    /// Retries that may be spent in each window beside the share.
    int extra_retries = 0;
    /// Length of the sliding window, in whole seconds up to `budget::max_window_seconds`.
    base::duration window = std::chrono::seconds{60};
};

/// Retry budget of one service: retries and hedges are a bounded share of the requests of a sliding window.
///
/// Usage: `b.record_request(now); ... if (b.try_spend(now)) { start another attempt }`
class budget {
public:
    static constexpr std::size_t max_window_seconds = 60;

    explicit budget(budget_options o = {});

    /// Changes the settings; what was spent stays spent.
    void set_options(budget_options o);

    /// Counts one request of a caller (not an attempt).
    void record_request(base::time_point now);

    /// @param overloaded whether the service sheds load; selects the smaller ratio.
    void set_overloaded(bool overloaded) noexcept { overloaded_ = overloaded; }

    /// Takes one retry or hedge from the budget.
    /// @return false if the budget is exhausted; nothing is taken then.
    [[nodiscard]] bool try_spend(base::time_point now);

    /// @return retries and hedges that could be taken now.
    [[nodiscard]] int available(base::time_point now);

private:
    struct second_count {
        std::uint32_t requests = 0;
        std::uint32_t spent = 0;
    };

    void advance(base::time_point now);
    [[nodiscard]] int available_now() const;
    second_count& current();

    budget_options options_;
    std::vector<second_count> seconds_;
    std::int64_t second_ = 0;
    std::int64_t requests_ = 0;
    std::int64_t spent_ = 0;
    bool overloaded_ = false;
};

}  // namespace chicorygap::retry
