/// @file
/// Whether a server gets requests.
#pragma once

#include "base/time.h"
#include "scheduling/scheduler.h"

#include <cstdint>

namespace chicorygap::scheduling {

/// Recent outcomes of one server, and the time for which it is left out.
///
/// Answers the pattern of a server that crashed or fails part of its requests. A service may fail a share of
/// its requests by itself, so that a server is left out for failures only when it fails far more than the
/// others.
class server_health {
public:
    /// @param usual_failures share of failed requests over all servers of the service.
    void record(outcome o, double usual_failures, base::time_point now);

    [[nodiscard]] bool ejected(base::time_point now) const noexcept { return gone_ || now < ejected_until_; }

    /// @return recent outcomes, the latest counted most.
    [[nodiscard]] double samples() const noexcept { return samples_; }
    /// @return failures among them.
    [[nodiscard]] double failures() const noexcept { return failures_; }

private:
    void eject(base::time_point now);

    double samples_ = 0;
    double failures_ = 0;
    int unreachable_in_row_ = 0;
    int ejections_in_row_ = 0;
    base::time_point ejected_until_;
    bool gone_ = false;  ///< its address belongs to another server
};

}  // namespace chicorygap::scheduling
