/// @file
/// Number of daemons among which the retries of a fleet are divided.
#pragma once

#include "base/time.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

namespace chicorygap::retry {

/// Largest number of daemons that were live at the same time, and when that was last so.
struct fleet_observation {
    std::size_t live = 0;
    base::time_point last_seen;
};

/// This daemon's share of the retries of a fleet: the whole divided by the largest number of daemons that
/// were live at the same time within the memory.
///
/// Concept: a daemon that is not heard may have ended, or may be cut off and go on to spend its share. Both
/// sides of a cut therefore keep their shares, whatever their sizes, and together spend no more than the
/// fleet did before. A fleet that has shrunk gets the shares of the missing daemons back after the memory.
/// A daemon that starts knows neither what it has spent before nor how large the fleet was: it has no share
/// until what it may have spent is over, and takes the number from its peers.
///
/// Usage: `s.update(live, now)` at regular intervals, `s.merge(x)` for what a peer tells.
/// Performs no I/O and reads no clock.
class fleet_share {
public:
    /// Cuts that last longer than this may exceed the retries of the fleet.
    static constexpr base::duration default_memory = std::chrono::minutes{10};

    /// @param started_at start of this process.
    /// @param window time for which a spent retry counts.
    fleet_share(base::time_point started_at, base::duration window, base::duration memory = default_memory)
        : started_at_{started_at}, window_{window}, memory_{memory} {}

    /// @param live number of daemons that are heard now, including this one; at least 1.
    /// @param now not earlier than at the last call.
    /// @return the number by which the retries of the fleet are divided.
    std::size_t update(std::size_t live, base::time_point now);

    /// Adds what a peer has seen.
    void merge(const fleet_observation& x);

    /// @return what peers should know; nothing before the first update.
    [[nodiscard]] std::optional<fleet_observation> largest() const;

    /// @param retries of the fleet in a window.
    /// @param daemons number by which they are divided.
    /// @return those that this daemon may spend in the current window.
    [[nodiscard]] double share(double retries, std::size_t daemons, base::time_point now) const;

private:
    base::time_point started_at_;
    base::duration window_;
    base::duration memory_;
    /// In descending order of the number and ascending order of the time.
    std::deque<fleet_observation> largest_;
};

}  // namespace chicorygap::retry
