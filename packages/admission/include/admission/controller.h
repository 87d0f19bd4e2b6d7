/// @file
/// Admission control of one service.
#pragma once

#include "admission/action.h"
#include "admission/event.h"
#include "admission/policy.h"
#include "admission/status.h"

#include <memory>
#include <vector>

namespace chicorygap::admission {

/// Decides which requests of one service start, wait or are refused.
///
/// There is one queue per class. Tiers have strict priority; classes of one tier alternate by waiting time;
/// inside a class, workspaces share by start-time fair queueing on estimated tokens. A backlogged class
/// that had no start for its `floor_wait` is served out of turn, so that no class starves. Lower tiers leave
/// slots free for the load of higher ones, at most a quarter; the floor is exempt.
///
/// Usage:
/// @code
/// controller c{p};
/// c.handle(capacity_changed{16}, now);
/// for (const action& a : c.handle(arrival{id, cls, workspace, 800}, now)) { ... }
/// @endcode
/// Not thread-safe; the adapter serialises calls.
class controller {
public:
    explicit controller(policy p);
    ~controller();
    controller(controller&&) noexcept;
    controller& operator=(controller&&) noexcept;
    controller(const controller&) = delete;
    controller& operator=(const controller&) = delete;

    /// @param e input event.
    /// @param now current time; must not go backwards.
    /// @return decisions in the order in which they are to be carried out.
    std::vector<action> handle(const event& e, base::time_point now);

    /// @return figures for operators, metrics and gossip.
    [[nodiscard]] status snapshot(base::time_point now) const;

private:
    class state;
    std::unique_ptr<state> state_;
};

}  // namespace chicorygap::admission
