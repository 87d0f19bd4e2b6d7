/// @file
/// Estimate of a server's prefill queue under overload.
#pragma once

#include "base/time.h"

namespace chicorygap::scheduling {

/// Time that a server needs for the prompts that wait there, from the rate at which all daemons send prompts.
///
/// Load pattern: a burst brings prompts to a server faster than it processes them, for five to nine seconds.
/// Reports of queues are outdated when they arrive, but the rates that daemons report stay valid, and the
/// queue is the part of them that the server could not process. Errors of the rates add up, so that each
/// measured wait pulls the estimate halfway to it, and only rates well above the server's speed let it grow.
class prefill_backlog {
public:
    /// Adds what has arrived and subtracts what the server has processed since the last call.
    /// @param utilisation rate of prompt tokens that daemons send, relative to the speed of the server.
    void advance(double utilisation, base::time_point now);

    /// Corrects the estimate with a wait that has ended.
    /// @param measured time for which the prompt waited.
    /// @param estimated value of `wait` when it started to wait.
    void observe(base::duration measured, base::duration estimated);

    /// @return time that a prompt sent now would wait.
    [[nodiscard]] base::duration wait() const noexcept { return wait_; }

private:
    base::duration wait_{};
    base::time_point advanced_at_;
};

}  // namespace chicorygap::scheduling
