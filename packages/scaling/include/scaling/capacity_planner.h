/// @file
/// Capacity decisions of one service.
#pragma once

#include "base/time.h"
#include "scaling/types.h"

#include <memory>
#include <vector>

namespace chicorygap::scaling {

/// Decides how many backend servers of which kind and zone to request, drain and release.
///
/// Reserved demand is placed on servers that cannot be reclaimed. Flexible demand is placed on the kinds with
/// the lowest price per slot, including the cost of reclaims. Rising demand takes effect at once, falling
/// demand after `scale_down_window`. Slots that a zone cannot provide are requested in the zone with the
/// lowest price. A server is drained before it is released.
///
/// Planners that receive the same events make the same decisions. The holder of each zone's role can
/// therefore run its own planner and carry out the actions of its zone only.
///
/// Usage:
/// @code
/// capacity_planner p{policy{}};
/// p.handle(demand_measured{...}, now);
/// for (const action& a : p.handle(tick{}, now)) { ... }
/// @endcode
class capacity_planner {
public:
    explicit capacity_planner(policy p);
    ~capacity_planner();
    capacity_planner(capacity_planner&&) noexcept;
    capacity_planner& operator=(capacity_planner&&) noexcept;
    capacity_planner(const capacity_planner&) = delete;
    capacity_planner& operator=(const capacity_planner&) = delete;

    /// Applies one event.
    /// @param e input event.
    /// @param now current time, not before the time of the previous call.
    /// @return decisions, in the order in which they must be carried out; empty for events other than `tick`.
    std::vector<action> handle(const event& e, base::time_point now);

private:
    class state;
    std::unique_ptr<state> state_;
};

}  // namespace chicorygap::scaling
