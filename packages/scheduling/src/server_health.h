/// @file
/// Outlier detection for one server.
#pragma once

#include "base/time.h"
#include "scheduling/scheduler.h"

#include <cstdint>

namespace chicorygap::scheduling {

/// Recent outcomes of one server and the time for which it is ejected.
///
/// Detects servers that crashed or fail part of their requests. A service may fail some of its requests on
/// every server, so that a server is ejected for failures only if its failure ratio is far above that of the
/// service.
class server_health {
public:
    /// @param service_failure_ratio fraction of failed requests over all servers of the service.
    void record(outcome o, double service_failure_ratio, base::time_point now);

    [[nodiscard]] bool ejected(base::time_point now) const noexcept {
        return replaced_ || now < ejected_until_;
    }

    /// @return number of recent outcomes, with exponentially decaying weights.
    [[nodiscard]] double samples() const noexcept { return samples_; }
    /// @return number of failures among them, with the same weights.
    [[nodiscard]] double failures() const noexcept { return failures_; }

private:
    void eject(base::time_point now);

    double samples_ = 0;
    double failures_ = 0;
    int consecutive_unreachable_ = 0;
    int consecutive_ejections_ = 0;
    base::time_point ejected_until_;
    bool replaced_ = false;  ///< another server has its address
};

}  // namespace chicorygap::scheduling
