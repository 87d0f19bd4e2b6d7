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

/// Rules for one class of requests.
struct class_policy {
    base::class_id id;
    base::tier tier;
    /// Time without a start after which the floor serves a class with demand out of turn.
    ///
    /// Bound on the wait for the next start: twice this time, plus one slot release per class, plus the end
    /// of one own run when the class's floor slots are taken. The floor waits the second `floor_wait` only
    /// while it would make a queued higher-tier request miss its deadline, and it never sheds or preempts.
    base::duration floor_wait = std::chrono::seconds{5};
    /// Part of the slots that requests started by the floor may hold at once (always at least one slot).
    double floor_share = 0.05;
    /// Estimates used until requests of the class have finished.
    double expected_output_tokens = 256;
    base::duration expected_service_time = std::chrono::seconds{2};
};

/// Fleet-wide limits of one workspace. An absent value means unlimited.
struct workspace_limits {
    std::optional<double> requests_per_s;
    std::optional<double> tokens_per_s;
    std::optional<int> concurrency;

    bool operator==(const workspace_limits&) const = default;
};

/// Fairness weight and limits of one workspace. A workspace that is not listed has weight 1 and no limits.
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
    /// Requests queued over all classes before the lowest tier is shed.
    std::size_t queue_limit = 10'000;
    /// Time over which returned capacity is put to use after an overload.
    base::duration ramp_time = std::chrono::seconds{2};
    /// Time for which lower tiers stay closed after an overload refusal of a higher one.
    base::duration pressure_hold_time = std::chrono::seconds{1};
};

}  // namespace chicorygap::admission
