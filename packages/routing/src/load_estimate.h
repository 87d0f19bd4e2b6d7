/// @file
/// Load estimate of one server.
#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace chicorygap::routing {

/// Identifier of a peer daemon within one router.
using peer_number = std::uint32_t;

/// Estimates the number of requests on a server from its last load report, which is delayed.
///
/// The report contains the number of requests at the time of its measurement. The estimate adds the change
/// since then: the requests in flight of this daemon and its peers now, minus those at the time of the
/// measurement.
class load_estimate {
public:
    /// @param max_report_age age beyond which a report is ignored in favor of the daemons' own counts.
    explicit load_estimate(base::duration max_report_age) : max_report_age_{max_report_age} {}

    /// Records the start of an attempt of this daemon.
    void record_start(base::time_point now);
    /// Records the end of an attempt of this daemon.
    /// @param started start time of the attempt, as passed to `record_start`.
    void record_end(base::time_point started, base::time_point now);
    /// Records a load report. A report that is not newer than the last one is ignored.
    /// @param load requests running and queued on the server.
    /// @param measured time at which the server measured its load.
    void record_report(int load, base::time_point measured, base::time_point now);
    /// Records the number of requests that a peer has in flight on this server.
    /// @param measured time at which the peer counted its requests.
    void record_peer_report(peer_number peer, int in_flight, base::time_point measured);
    /// Removes the requests of a peer that left the fleet.
    void remove_peer(peer_number peer);

    /// @return estimated number of requests on the server, at least the requests of this daemon.
    [[nodiscard]] int estimate(base::time_point now) const {
        const int own = own_in_flight();
        const bool report_expired = !has_report_ || report_time_ + max_report_age_ < now;
        return report_expired ? own + std::max(0, peer_total_)
                              : std::max(own, reported_load_ + own_delta_ + peer_delta_);
    }
    [[nodiscard]] int own_in_flight() const noexcept { return static_cast<int>(active_starts_.size()); }

private:
    struct attempt_interval {
        base::time_point started;
        base::time_point ended;
    };
    struct load_sample {
        base::time_point measured;
        int in_flight = 0;
    };
    struct peer_state {
        std::vector<load_sample> samples;  // oldest first
        int delta = 0;
    };

    [[nodiscard]] int own_in_flight_at(base::time_point t) const;
    [[nodiscard]] int delta_since_report(const std::vector<load_sample>& samples) const;

    base::duration max_report_age_;
    // Each selection reads the members up to `active_starts_` of every candidate, so they are adjacent.
    base::time_point report_time_{};
    bool has_report_ = false;
    int reported_load_ = 0;
    int own_delta_ = 0;
    int peer_delta_ = 0;
    int peer_total_ = 0;
    std::vector<base::time_point> active_starts_;
    std::deque<attempt_interval> ended_attempts_;
    std::unordered_map<peer_number, peer_state> peers_;
};

}  // namespace chicorygap::routing
