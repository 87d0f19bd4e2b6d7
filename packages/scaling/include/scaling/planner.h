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
/// Reserved work gets servers that cannot be reclaimed, flexible work the kinds with the lowest price per
/// slot including the cost of reclaims. Demand acts at once when it rises and after `release_delay` when it
/// falls. What a zone cannot provide is requested in the zone with the lowest price. A server is drained
/// before it is released.
///
/// The same events give the same decisions, so every zone's role holder can run a planner and carry out the
/// actions of its own zone.
///
/// Usage: `planner p{policy{}}; p.handle(demand_measured{...}, now); for (const action& a : p.handle(tick{},
/// now))`
class planner {
public:
    explicit planner(policy p);
    ~planner();
    planner(planner&&) noexcept;
    planner& operator=(planner&&) noexcept;
    planner(const planner&) = delete;
    planner& operator=(const planner&) = delete;

    /// @return decisions; only `tick` gives any.
    std::vector<action> handle(const event& e, base::time_point now);

private:
    class state;
    std::unique_ptr<state> state_;
};

}  // namespace chicorygap::scaling
