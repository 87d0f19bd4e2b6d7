/// @file
/// Rate of something over the last moments.
#pragma once

#include "base/time.h"

namespace chicorygap::scheduling {

/// Amount per second over the last moments; older amounts count less and less.
///
/// Answers the pattern of views that are older than what they describe: a queue of prompts that was seen half
/// a second ago has been read since, but the rate at which it was filled goes on.
class decaying_rate {
public:
    void add(double amount, base::time_point now);

    [[nodiscard]] double per_second(base::time_point now) const;

private:
    [[nodiscard]] double remaining(base::time_point now) const;

    double amount_ = 0;
    base::time_point updated_;
};

}  // namespace chicorygap::scheduling
