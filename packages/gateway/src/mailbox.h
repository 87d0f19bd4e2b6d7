/// @file
/// Decisions of the core on their way to a request's thread.
#pragma once

#include "base/time.h"
#include "dispatch/action.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>

namespace chicorygap::gateway {

/// Queue of actions for one request. Cancellations are kept apart, because they are polled during an attempt.
class mailbox {
public:
    void post(const dispatch::action& a);

    /// @param timeout longest wait.
    /// @return the next action other than a cancellation, or nothing.
    std::optional<dispatch::action> wait(base::duration timeout);

    /// @return the reason if this attempt is to be cancelled.
    [[nodiscard]] std::optional<base::result_code> cancelled(std::uint32_t attempt) const;

private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<dispatch::action> actions_;
    std::optional<dispatch::cancel_attempt> cancel_;
};

}  // namespace chicorygap::gateway
