/// @file
/// Expected wait for a server, and times at which refused callers should return.
#pragma once

#include "base/random.h"
#include "base/time.h"

#include <cstddef>

namespace chicorygap::scheduling {

/// Requests of one service at all daemons, as far as known.
struct fleet_load {
    std::size_t running = 0;       ///< on servers, of all daemons
    std::size_t waiting = 0;       ///< at this daemon
    std::size_t peer_waiting = 0;  ///< at other daemons
    /// Mean time of a request on its server; 0 if not measured.
    base::duration request_time{};
};

/// Expects the wait of requests in the queue of this daemon from the rate at which requests end in the fleet.
///
/// Load pattern: a daemon of a large fleet starts four or five requests per second, too few to measure the
/// rate of its starts within a burst. The rate at which all requests end follows from the number that runs in
/// the fleet and the mean time of one, which a few ends at this daemon show. Each place that becomes free is
/// taken by this daemon or by a peer with waiting requests, in proportion to their number.
class queue_forecast {
public:
    explicit queue_forecast(const fleet_load& f) : load_{f} {}

    /// @param ahead requests at this daemon that start before.
    /// @return expected wait; 0 if it cannot be told.
    [[nodiscard]] base::duration wait(std::size_t ahead) const;

    /// @return expected time between two starts of requests of this daemon; 0 if it cannot be told.
    [[nodiscard]] base::duration start_interval() const;

private:
    [[nodiscard]] base::duration place_interval() const;

    fleet_load load_;
};

/// Assigns times to refused callers at which they should return.
///
/// Load pattern: a burst is refused within a short time and returns all at once. Each caller gets a time when
/// room is expected, after those of the callers that were refused before, one per expected start.
class return_schedule {
public:
    /// @param room time until room for a request is expected.
    /// @param interval expected time between two starts of requests of this daemon.
    /// @return time after which the caller should return.
    base::duration next(base::duration room, base::duration interval, const base::random_function& random,
                        base::time_point now);

private:
    base::time_point last_;
};

}  // namespace chicorygap::scheduling
