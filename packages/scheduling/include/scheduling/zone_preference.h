/// @file
/// Whether a request leaves its availability zone, and how many do.
#pragma once

#include "base/id.h"
#include "base/random.h"
#include "base/time.h"
#include "scheduling/zone_load.h"
#include "scheduling/zone_status.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace chicorygap::scheduling {

/// A change of the state of a zone, for the log.
struct zone_change {
    zone_state from = zone_state::sufficient;
    zone_state to = zone_state::sufficient;
    zone_load home;    ///< load of this daemon's zone at the change
    double share = 0;  ///< share of the requests that is to leave
};

/// What the users' platform asks of the traffic between zones.
struct zone_options {
    /// Milliseconds of a caller's wait that one megabyte (1,000,000 bytes) between zones is worth.
    double byte_price_ms_per_mb = 0;
    /// Called on each change of the state; may be empty.
    std::function<void(const zone_change&)> state_changed;
};

/// Decides whether and how many requests of one service leave this daemon's zone.
///
/// Requests stay in their zone unless leaving pays: when the zone's daemons need more places than its servers
/// have, when a first event comes sooner elsewhere by more than the round trip and the price of the bytes,
/// or when no server of the zone takes requests. Each daemon derives the same plan from the reports that all
/// daemons of its zone hear (`make_zone_plan`): the requests of the zone that should run elsewhere, divided
/// among the other zones in proportion to the places that they can spare. Of its own requests each daemon
/// sends that share, so that the daemons together send what the plan says without talking to each other. The
/// plan is made from demand rather than from the places that are free at the moment, so that it does not
/// react to its own effect with the delay of the reports.
///
/// Two bounds keep a zone from being flooded: it keeps a reserve of places for its own callers, and each
/// daemon starts there, within the time in which reports tell of the starts, at most its part of the places
/// that the zone can spare. The state has different levels for entering and leaving, and it becomes less
/// urgent only after the cause has been gone for a while.
///
/// Handles these load patterns:
/// - one zone has too few places while others have spare ones;
/// - all zones have too few places: nothing leaves, since no zone can spare any;
/// - the servers of one zone are slow;
/// - a burst of one workspace arrives in one zone;
/// - a zone loses its servers and gets them back;
/// - many daemons see the same free places in reports of different age.
///
/// Usage:
/// @code
/// zone_preference p{home, {.byte_price_ms_per_mb = 100}, random};
/// p.update(loads, now);     // at least every `plan_lifetime`
/// p.record_arrival(bytes);  // once for each request of a caller
/// if (p.in_share(zone)) { ... p.record_start(zone, bytes, p.share_reason()); }
/// @endcode
/// Not thread-safe. Performs no I/O and reads no clock.
class zone_preference {
public:
    /// Age at which the plan is to be made again; beacons arrive every 150 ms or less often.
    static constexpr base::duration plan_lifetime = std::chrono::milliseconds{50};

    /// @param home zone of this daemon.
    /// @param random spreads the first departures of daemons that make the same plan at the same time.
    zone_preference(base::zone_id home, zone_options o, const base::random_function& random);
    ~zone_preference();
    zone_preference(const zone_preference&) = delete;
    zone_preference& operator=(const zone_preference&) = delete;

    /// @return true if `update` is due.
    [[nodiscard]] bool update_due(base::time_point now) const;

    /// Makes a new plan.
    /// @param loads load of each zone that has servers of the service or daemons that reported.
    void update(const std::vector<zone_load>& loads, base::time_point now);

    /// Counts a new request of a caller; a part of them as large as the share may leave.
    /// @param bytes request and expected answer.
    void record_arrival(std::uint64_t bytes);

    /// Records how long a request ran on a server, from which the wait for a place is estimated.
    void record_run_time(base::duration d);

    /// @return true if the next request may go to the zone as part of the share, if that is the cheapest.
    [[nodiscard]] bool in_share(const base::zone_id& zone) const;
    /// @return reason for which requests of the share leave.
    [[nodiscard]] leave_reason share_reason() const;

    /// Decides about a request for which no server of this zone has a place now.
    /// @param bytes request and expected answer.
    /// @param waited time for which the request has waited already.
    /// @param longest_wait time for which it may wait to save the way, so that it still meets its target.
    /// @return `full` or `closed` if it may go to the zone, or `none`: it then waits in its own zone. It
    /// leaves
    ///         when its past or expected wait costs as much as the way, so that it pays at most twice the
    ///         lower of the two.
    [[nodiscard]] leave_reason may_overflow(const base::zone_id& zone, std::uint64_t bytes,
                                            base::duration waited, base::duration longest_wait) const;

    /// Decides about a request whose attempt at a server of this zone has failed. The retry budget bounds
    /// such requests, so that the starts allowed elsewhere do not: a server that has failed would be the
    /// alternative.
    /// @return false if the zone is cut off or has no server that takes requests.
    [[nodiscard]] bool may_retry(const base::zone_id& zone) const;

    /// @return cost in milliseconds of sending a request to another zone: the round trip and the price of the
    ///         bytes.
    [[nodiscard]] double cost_ms(std::uint64_t bytes) const;

    /// @return cost in milliseconds of a place in this zone: the wait of the request that finds none later; 0
    ///         unless the zone is short of places.
    [[nodiscard]] double home_place_cost_ms() const;

    /// Records that a request has started in another zone.
    void record_start(const base::zone_id& zone, std::uint64_t bytes, leave_reason reason);

    [[nodiscard]] const zone_status& status() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

}  // namespace chicorygap::scheduling
