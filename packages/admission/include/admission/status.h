/// @file
/// State of the admission controller, for operators and peers.
#pragma once

#include "base/id.h"
#include "base/tier.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chicorygap::admission {

/// State and counters of one class.
struct class_status {
    base::class_id id;
    base::tier tier;
    std::size_t queued = 0;
    std::size_t running = 0;
    /// Time for which the demand of the class has had no start; zero without a backlog.
    base::duration unserved_for{};
    /// Predicted queueing time of a request that arrives now from a workspace without a backlog.
    base::duration predicted_wait{};
    std::uint64_t started = 0;
    std::uint64_t rejected = 0;
    std::uint64_t preempted = 0;
};

/// State of one controller.
struct status {
    std::vector<class_status> classes;
    std::size_t queued = 0;
    std::size_t running = 0;
    int slots = 0;
    /// Slots that may be used while capacity ramps up; equal to `slots` otherwise.
    int usable_slots = 0;
    /// Lowest tier that this daemon still admits, based on its own rejections only. Reported to the peers.
    base::tier pressure;
    /// Lowest tier that this daemon still admits, based on its own rejections and the level of the peers.
    base::tier effective_pressure;
};

}  // namespace chicorygap::admission
