/// @file
/// Maximum over a sliding window.
#pragma once

#include "base/time.h"

#include <deque>

namespace chicorygap::scaling {

/// Maximum of the values in a sliding time window. It rises at once and falls when larger values leave the
/// window.
class sliding_maximum {
public:
    /// Adds a value and removes the values that have left the window.
    /// @param value value to add.
    /// @param window length of the window.
    /// @param now time of the value, not before the time of the previous value.
    void add(double value, base::duration window, base::time_point now);
    /// @return the maximum as of the last call of `add`, or 0 if there are no values.
    [[nodiscard]] double maximum() const { return samples_.empty() ? 0 : samples_.front().value; }

private:
    struct sample {
        base::time_point time;
        double value = 0;
    };
    std::deque<sample> samples_;  // by time, with decreasing values
};

}  // namespace chicorygap::scaling
