/// @file
/// How fast one server works.
#pragma once

#include "base/time.h"

namespace chicorygap::scheduling {

/// Speed of one server: in the long run, from measured times, and at this moment, from its own reports.
///
/// Load pattern: servers of unequal speed (0.55 to 1.2 of the nominal one) on machines that are shared with
/// others, where for some hundred milliseconds at a time work takes 2.5 times as long. The long-run speed is
/// measured against the other servers of the service, in both directions, and counts little until there are
/// several measurements. A report counts relative to what the server usually reports, so that one that always
/// names a wrong pace is judged by its measured times alone, and it fades within some hundred milliseconds.
class server_pace {
public:
    /// Records the pace that the server reported.
    /// @param pace time that work takes, relative to the usual time; greater than 0.
    void report(double pace, base::time_point now);

    /// Records a measured time.
    /// @param ratio measured time divided by the time that an average server of the service would have needed
    /// in its usual state; greater than 0.
    void measure(double ratio, base::time_point now);

    /// @return time that work takes at this moment, relative to the usual time on this server.
    [[nodiscard]] double slowdown(base::time_point now) const;
    /// @param usual_ms time of some work on this server at its usual pace, in milliseconds.
    /// @return time if the work starts now: the present slowdown does not last for long work.
    [[nodiscard]] double duration_ms(double usual_ms, base::time_point now) const;
    /// @return long-run speed relative to the average server of the service.
    [[nodiscard]] double speed() const;
    /// @return weight of the measurements in `speed`, from 0 (none) to 1.
    [[nodiscard]] double confidence() const;
    /// @return time that work takes at this moment, relative to an average server in its usual state.
    [[nodiscard]] double time_factor(base::time_point now) const { return slowdown(now) / speed(); }

private:
    // Logarithms, so that twice as fast and twice as slow weigh the same.
    double log_ratio_ = 0;
    double measurements_ = 0;
    double log_reported_ = 0;
    double log_usually_reported_ = 0;
    double reports_ = 0;
    base::time_point reported_at_;
};

}  // namespace chicorygap::scheduling
