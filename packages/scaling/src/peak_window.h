/// @file
/// Maximum over a sliding window.
#pragma once

#include "base/time.h"

#include <deque>

namespace chicorygap::scaling {

/// Largest value of the last `length`: follows a rise at once and a fall after `length`.
class peak_window {
public:
    void add(double value, base::duration length, base::time_point now);
    /// @return the maximum, 0 without values. The latest value stays valid until the next one.
    [[nodiscard]] double peak() const { return samples_.empty() ? 0 : samples_.front().value; }

private:
    struct sample {
        base::time_point at;
        double value = 0;
    };
    std::deque<sample> samples_;  // values descending
};

}  // namespace chicorygap::scaling
