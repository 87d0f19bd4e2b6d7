/// @file
/// Number of daemons among which the retries of a fleet are divided.
#pragma once

#include "base/time.h"

#include <chrono>
#include <cstddef>
#include <deque>

namespace chicorygap::retry {

/// Number of daemons among which the retries of a fleet are divided: the largest number that was live at the
/// same time within the memory.
///
/// Concept: a daemon that is not heard may have ended, or may be cut off and go on to spend its share. Both
/// sides of a cut therefore keep their shares, whatever their sizes, and together spend no more than the
/// fleet did before. A fleet that has shrunk gets the shares of the missing daemons back after the memory.
///
/// Usage: `const auto n = s.update(live, now)` at regular intervals.
/// Performs no I/O and reads no clock.
class fleet_share {
public:
    /// Cuts that last longer than this may exceed the retries of the fleet.
    static constexpr base::duration default_memory = std::chrono::minutes{10};

    explicit fleet_share(base::duration memory = default_memory) : memory_{memory} {}

    /// @param live number of daemons that are heard now, including this one; at least 1.
    /// @param now not earlier than at the last call.
    /// @return the number by which the retries of the fleet are divided.
    [[nodiscard]] std::size_t update(std::size_t live, base::time_point now);

private:
    struct observation {
        std::size_t live = 0;
        base::time_point last_seen;
    };
    base::duration memory_;
    /// In descending order of the number; one for each number at most.
    std::deque<observation> largest_;
};

}  // namespace chicorygap::retry
