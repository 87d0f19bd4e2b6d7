/// @file
/// Maximum of a value over a recent time.
#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstddef>

namespace chicorygap::duties {

/// Maximum of a value over a recent time, in constant memory.
///
/// Concept: the maxima of the current and of the previous period are kept, so that a value counts for at
/// least one and at most two periods.
///
/// Usage: `m.observe(n, now)` at short intervals, then `m.value()`.
class recent_maximum {
public:
    /// @param period time for which a value counts at least.
    explicit recent_maximum(base::duration period) : period_{period} {}

    /// Records the value at the time `now`.
    void observe(std::size_t value, base::time_point now) {
        if (now - period_started_at_ >= period_) {
            previous_ = now - period_started_at_ < 2 * period_ ? current_ : 0;
            current_ = 0;
            period_started_at_ = now;
        }
        current_ = std::max(current_, value);
    }

    /// @return the maximum of the recent values; 0 if there are none.
    [[nodiscard]] std::size_t value() const noexcept { return std::max(previous_, current_); }

private:
    base::duration period_;
    base::time_point period_started_at_;
    std::size_t current_ = 0;
    std::size_t previous_ = 0;
};

}  // namespace chicorygap::duties
