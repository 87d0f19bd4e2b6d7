/// @file
/// One role of a daemon.
#pragma once

#include "base/time.h"
#include "lease/role_lease.h"

namespace chicorygap::control {

/// Role that the controller runs on its thread.
class role_runner {
public:
    virtual ~role_runner() = default;

    role_runner() = default;
    role_runner(const role_runner&) = delete;
    role_runner& operator=(const role_runner&) = delete;
    role_runner(role_runner&&) = delete;
    role_runner& operator=(role_runner&&) = delete;

    /// Advances the lease; called about ten times a second.
    virtual void tick_lease() = 0;
    /// Advances the work of the role.
    virtual void tick_work() = 0;
    /// Whether this daemon competes for the role.
    virtual void set_candidate(bool candidate) = 0;
    /// Starts to hand the role over.
    virtual void release() = 0;

    /// @return the role's lease.
    [[nodiscard]] virtual const lease::role_lease& lease() const = 0;
};

}  // namespace chicorygap::control
