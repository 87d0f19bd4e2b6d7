/// @file
/// Admission controller of one service.
#pragma once

#include "admission/action.h"
#include "admission/event.h"
#include "admission/policy.h"
#include "admission/status.h"

#include <memory>
#include <vector>

namespace chicorygap::admission {

/// Decides which requests of one service start, wait in a queue or are rejected.
///
/// Each class has its own queue. Scheduling works on three levels:
/// - Between tiers: strict priority.
/// - Between the classes of one tier: the class that has gone without a start for longest is served first.
/// - Between the workspaces of a class: start-time fair queueing on estimated tokens.
///
/// To prevent starvation, a backlogged class without a start for `class_policy::floor_wait` is served ahead
/// of higher tiers; this guaranteed minimum service is called the floor. Lower tiers leave slots free for the
/// average load of higher tiers, at most a quarter of all slots. The floor may use these reserved slots.
///
/// Usage:
/// @code
/// controller c{p};
/// c.handle(capacity_changed{16}, now);
/// for (const action& a : c.handle(arrival{id, cls, workspace, 800}, now)) { ... }
/// @endcode
/// Not thread-safe; the caller serialises all calls.
class controller {
public:
    explicit controller(policy p);
    ~controller();
    controller(controller&&) noexcept;
    controller& operator=(controller&&) noexcept;
    controller(const controller&) = delete;
    controller& operator=(const controller&) = delete;

    /// Handles one event.
    ///
    /// @param e input event.
    /// @param now current time; must not be earlier than in a previous call.
    /// @return decisions, in the order in which the caller must carry them out.
    /// @throws base::error with `result_code::internal` if the id of an `arrival` is already in use.
    std::vector<action> handle(const event& e, base::time_point now);

    /// @param now current time.
    /// @return current state for operators, metrics and gossip.
    [[nodiscard]] status snapshot(base::time_point now) const;

private:
    class state;
    std::unique_ptr<state> state_;
};

}  // namespace chicorygap::admission
