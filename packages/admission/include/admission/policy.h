/// @file
/// Admission policy of one service.
#pragma once

#include "base/id.h"
#include "base/tier.h"
#include "base/time.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace chicorygap::admission {

/// Scheduling parameters of one class of requests.
struct class_policy {
    base::class_id id;
    base::tier tier;
    /// Time without a start after which a class with demand is served ahead of higher tiers (the floor).
    ///
    /// The wait for the next start is at most twice this time, plus the time of one slot release per class,
    /// plus the end of one of the class's own requests if its floor slots are all in use. The floor waits for
    /// the second `floor_wait` only while its start would make a queued higher-tier request miss its
    /// deadline. The floor never sheds or preempts requests.
    base::duration floor_wait = std::chrono::seconds{5};
    /// Fraction of the slots that requests started by the floor may occupy at once; at least one slot.
    double floor_share = 0.05;
    /// Initial estimates, used until requests of the class have finished.
    double expected_output_tokens = 256;
    base::duration expected_service_time = std::chrono::seconds{2};
};

/// Fleet-wide limits of one workspace. An absent value means no limit.
struct workspace_limits {
    std::optional<double> requests_per_s;
    std::optional<double> tokens_per_s;
    std::optional<int> concurrency;

    bool operator==(const workspace_limits&) const = default;
};

/// Fair-queueing weight and limits of one workspace. A workspace that is not listed has weight 1 and no
/// limits.
struct workspace_policy {
    base::workspace_id id;
    double weight = 1;
    workspace_limits limits;
};

/// Admission policy of one service.
///
/// Usage: `policy p; p.classes.push_back({class_id{"urgent"}, tier{0}}); controller c{p};`
struct policy {
    std::vector<class_policy> classes;
    std::vector<workspace_policy> workspaces;
    /// Maximum number of queued requests over all classes. Beyond it, requests of the lowest tier are shed.
    std::size_t queue_limit = 10'000;
    /// Time over which added capacity is brought into use while requests are queued.
    base::duration ramp_time = std::chrono::seconds{2};
    /// Time for which lower tiers stay closed after a request of a higher tier was rejected due to overload.
    base::duration pressure_hold_time = std::chrono::seconds{1};
};

}  // namespace chicorygap::admission
