/// @file
/// Corrected load of one server.
#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace chicorygap::routing {

/// Number that stands for a peer daemon inside one router.
using peer_number = std::uint32_t;

/// Estimates the requests on a server from its last report, which lags.
///
/// The report counts the requests at its time of measurement. What this daemon and its peers have started and
/// ended since is added: their count now minus their count at that time.
class load_estimate {
public:
    /// @param lifetime age beyond which a report is replaced by the daemons' own counts.
    explicit load_estimate(base::duration lifetime) : lifetime_{lifetime} {}

    /// Records the start of an own attempt.
    void started(base::time_point now);
    /// Records the end of an own attempt.
    /// @param started its start, as given to `started`.
    void finished(base::time_point started, base::time_point now);
    /// Records a report; one that is not newer than the last is ignored.
    /// @param measured when the server counted.
    void reported(int load, base::time_point measured, base::time_point now);
    /// Records a peer's count of its own requests on this server.
    void peer_reported(peer_number peer, int in_flight, base::time_point measured);
    /// Removes a peer that left the fleet.
    void forget_peer(peer_number peer);

    /// @return estimated requests on the server, at least this daemon's own.
    [[nodiscard]] int load(base::time_point now) const {
        const int own = own_in_flight();
        const bool silent = !has_report_ || measured_ + lifetime_ < now;
        return silent ? own + std::max(0, peer_total_) : std::max(own, reported_ + own_delta_ + peer_delta_);
    }
    [[nodiscard]] int own_in_flight() const noexcept { return static_cast<int>(active_.size()); }

private:
    struct interval {
        base::time_point started;
        base::time_point ended;
    };
    struct sample {
        base::time_point measured;
        int in_flight = 0;
    };
    struct peer_state {
        std::vector<sample> samples;  // oldest first
        int delta = 0;
    };

    [[nodiscard]] int own_at(base::time_point t) const;
    [[nodiscard]] int delta_since_report(const std::vector<sample>& samples) const;

    base::duration lifetime_;
    // Each decision reads the members up to `active_` of every candidate, so they are kept together.
    base::time_point measured_{};
    bool has_report_ = false;
    int reported_ = 0;
    int own_delta_ = 0;
    int peer_delta_ = 0;
    int peer_total_ = 0;
    std::vector<base::time_point> active_;
    std::deque<interval> ended_;
    std::unordered_map<peer_number, peer_state> peers_;
};

}  // namespace chicorygap::routing
