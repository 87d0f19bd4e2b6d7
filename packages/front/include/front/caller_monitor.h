/// @file
/// Tells whether a caller is still connected.
#pragma once

namespace chicorygap::front {

/// Watches a caller's connection without blocking and without consuming bytes.
class caller_monitor {
public:
    virtual ~caller_monitor() = default;

    /// @return true when the caller has closed the connection, also if only its sending side, or it has
    /// failed. May be called from any thread while `hooks::execute` runs.
    [[nodiscard]] virtual bool gone() const = 0;

protected:
    caller_monitor() = default;
    caller_monitor(const caller_monitor&) = default;
    caller_monitor& operator=(const caller_monitor&) = default;
};

}  // namespace chicorygap::front
