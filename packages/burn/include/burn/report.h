/// @file
/// Report over the digests of several daemons.
#pragma once

#include "base/time.h"
#include "burn/digest.h"
#include "burn/objective.h"

#include <array>
#include <optional>
#include <vector>

namespace chicorygap::burn {

/// Urgency of a class's burn rate.
enum class alert { none, ticket, page };

/// @return "none", "ticket" or "page".
std::string_view to_string(alert a) noexcept;

/// Figures of one window.
struct window_report {
    counts requests;
    /// Speed at which the error budget is used: 1 uses it up exactly over the period of the objective.
    double burn_rate = 0;
    /// Burn rate per bucket, oldest first.
    std::array<double, class_buckets> history{};
};

/// Figures of one workspace in one class.
struct workspace_report {
    base::workspace_id workspace;
    std::array<counts, window_count> windows;
};

/// Figures of one class of one service.
struct class_report {
    objective target;
    std::array<window_report, window_count> windows;
    /// Part of the 3-day error budget that is left; negative when overspent.
    double budget_left = 1;
    /// Time until the budget is used up at the burn rate of the last hour; absent while it does not shrink.
    std::optional<base::duration> time_left;
    alert urgency = alert::none;
    /// Workspaces by attainment over the last hour, worst first. Those with fewer than 10 requests come last.
    std::vector<workspace_report> workspaces;
    causes reasons;
};

/// Report over the fleet.
struct report {
    std::vector<class_report> classes;  // highest tier first
    std::vector<base::vm_id> included;
    /// Daemons whose digest is missing; their requests are not counted.
    std::vector<base::vm_id> missing;
};

/// Merges digests.
/// @param objectives classes to report on; digests of other classes are ignored.
/// @param digests at most one per daemon; a later one of the same daemon replaces an earlier one.
/// @param expected daemons that should have sent a digest.
report make_report(const std::vector<objective>& objectives, const std::vector<digest>& digests,
                   const std::vector<base::vm_id>& expected);

}  // namespace chicorygap::burn
