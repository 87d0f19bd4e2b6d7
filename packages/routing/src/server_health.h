/// @file
/// Outlier detection for one server.
#pragma once

#include "base/time.h"
#include "routing/types.h"

#include <optional>

namespace chicorygap::routing {

/// Tracks the failures, the latency and the ejection of one server. The server table decides whether an
/// ejection is permitted, because the limit applies to groups of servers.
class server_health {
public:
    /// @param o settings; must outlive this object.
    explicit server_health(const ejection_options& o) : options_{&o} {}

    /// Records a successful attempt.
    void record_success(base::time_point now);
    /// Records a failure that the server caused.
    /// @return true if the server should be ejected.
    bool record_failure(base::time_point now);
    /// Records the latency of an attempt, up to its first output.
    void record_latency(base::duration latency);

    /// Starts an ejection. Each consecutive ejection lasts longer.
    void eject(base::time_point now);
    /// Ends an ejection early and begins the slow start of the server.
    void end_ejection(base::time_point now);
    /// Sets whether the server is a latency outlier that could not be ejected.
    void set_slow(bool slow) noexcept { slow_ = slow; }

    [[nodiscard]] bool ejected(base::time_point now) const { return ejected_until_ && now < *ejected_until_; }
    [[nodiscard]] base::time_point ejected_until() const {
        return ejected_until_.value_or(base::time_point{});
    }
    /// @return fraction of the normal traffic: 0 during an ejection, then growing from 0.1 to 1 during slow
    /// start. A server that cannot be ejected because of the limit has the minimum weight.
    [[nodiscard]] double weight(base::time_point now) const {
        // The common case is inline because each selection reads the weight of every candidate.
        const bool full_weight =
            !ejected_until_ && !slow_ && consecutive_failures_ < options_->consecutive_failures;
        return full_weight ? 1.0 : reduced_weight(now);
    }
    /// @return mean latency, or nothing if there are too few samples.
    [[nodiscard]] std::optional<base::duration> mean_latency() const;

private:
    [[nodiscard]] double reduced_weight(base::time_point now) const;
    [[nodiscard]] bool in_slow_start(base::time_point now) const;

    const ejection_options* options_;
    int consecutive_failures_ = 0;
    int consecutive_ejections_ = 0;
    int latency_samples_ = 0;
    double mean_latency_ns_ = 0;
    bool slow_ = false;
    std::optional<base::time_point> ejected_until_;
};

}  // namespace chicorygap::routing
