/// @file
/// State of the admission controller for operators and peers.
#pragma once

#include "base/id.h"
#include "base/tier.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chicorygap::admission {

/// Figures of one class.
struct class_status {
    base::class_id id;
    base::tier tier;
    std::size_t queued = 0;
    std::size_t running = 0;
    /// Time since the last start while requests are waiting; zero without a backlog.
    base::duration unserved_for{};
    /// Predicted wait of a request that arrives now in a workspace without a backlog.
    base::duration predicted_wait{};
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
    std::uint64_t preempted = 0;
};

/// Figures of one controller.
struct status {
    std::vector<class_status> classes;
    std::size_t queued = 0;
    std::size_t running = 0;
    int slots = 0;
    /// Slots in use while capacity ramps up; equal to `slots` otherwise.
    int usable_slots = 0;
    /// Lowest tier that this daemon still admits by its own load; this is what peers are told.
    base::tier pressure;
    /// The same, including the level told by peers.
    base::tier effective_pressure;
};

}  // namespace chicorygap::admission
