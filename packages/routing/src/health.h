/// @file
/// Ejection state of one server.
#pragma once

#include "base/time.h"
#include "routing/types.h"

#include <optional>

namespace chicorygap::routing {

/// Failures, latency and ejection of one server. Whether an ejection is permitted is decided by the server
/// table, which knows the groups.
class health {
public:
    /// @param o thresholds; must outlive this object.
    explicit health(const ejection_options& o) : options_{&o} {}

    /// Records a successful attempt.
    void succeeded(base::time_point now);
    /// Records a failure that is the server's fault.
    /// @return true if the server should be ejected.
    bool failed(base::time_point now);
    /// Records the latency to the first output.
    void add_latency(base::duration latency);

    /// Starts an ejection; each one in a row lasts longer.
    void eject(base::time_point now);
    /// Ends an ejection early; the server returns gradually.
    void readmit(base::time_point now);
    /// Marks a server that is slow but could not be ejected.
    void set_slow(bool slow) noexcept { slow_ = slow; }

    [[nodiscard]] bool ejected(base::time_point now) const { return ejected_until_ && now < *ejected_until_; }
    [[nodiscard]] base::time_point ejected_until() const {
        return ejected_until_.value_or(base::time_point{});
    }
    /// @return share of the normal traffic: 0 while ejected, then growing from 0.1 to 1. A server that should
    /// be ejected but is not, because too many others are, has the least weight.
    [[nodiscard]] double weight(base::time_point now) const {
        // The usual case is inline because each decision asks for every candidate.
        const bool usual = !ejected_until_ && !slow_ && failures_ < options_->consecutive_failures;
        return usual ? 1.0 : reduced_weight(now);
    }
    /// @return mean latency, or nothing before there are enough samples.
    [[nodiscard]] std::optional<base::duration> mean_latency() const;

private:
    [[nodiscard]] double reduced_weight(base::time_point now) const;
    [[nodiscard]] bool returning(base::time_point now) const;

    const ejection_options* options_;
    int failures_ = 0;
    int ejections_ = 0;
    int samples_ = 0;
    double latency_ns_ = 0;
    bool slow_ = false;
    std::optional<base::time_point> ejected_until_;
};

}  // namespace chicorygap::routing
