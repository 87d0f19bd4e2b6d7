/// @file
/// The other daemons, as they last reported.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "sharing/beacon.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace chicorygap::sharing {

/// @param daemons size of the fleet.
/// @return how often a daemon sends to each of its peers. A daemon sends and hears a bounded number of
/// messages a second, so that the rate for each peer falls in a large fleet.
base::duration beacon_interval(std::size_t daemons);

/// @param daemons size of the fleet.
/// @return a daemon that was not heard for this long is taken for dead: several messages in a row were lost.
base::duration peer_timeout(std::size_t daemons);

/// @param daemons size of the fleet.
/// @return true if daemons of different zones tell each other the sums of their zones instead of their own
/// loads: what a daemon hears, and what crosses zones, then grows with the zones and not with the fleet.
bool aggregates_loads_by_zone(std::size_t daemons);

/// The other daemons, as they last reported.
///
/// Usage: `if (t.observe(b, wall, now)) { ... }` for each beacon; the questions below need the current time.
/// Contains no I/O and reads no clock.
class peer_table {
public:
    explicit peer_table(base::vm_id self) : self_{std::move(self)} {}

    /// Takes a beacon.
    /// @param wall own time of day at its receipt.
    /// @return false if it is the daemon's own or older than the last one.
    bool observe(const beacon& b, base::wall_time wall, base::time_point now);

    /// Adds addresses to send beacons to, from the platform's list or the settings.
    void add_address(const net::address& a);

    /// @return where beacons are sent: every daemon heard of, and every address listed.
    [[nodiscard]] std::vector<net::address> addresses() const;

    /// @return addresses of the daemons heard of in a zone.
    [[nodiscard]] std::vector<net::address> addresses_in_zone(const base::zone_id& zone) const;

    /// @return addresses outside a zone, and those of listed daemons that were not heard yet.
    [[nodiscard]] std::vector<net::address> addresses_outside_zone(const base::zone_id& zone) const;

    /// Daemons of a zone that others rely on are those with the most of a core; all daemons agree on their
    /// order.
    /// @param self what this daemon says of itself.
    /// @return live daemons of its zone that come before it, in order.
    [[nodiscard]] std::vector<const beacon*> higher_ranked_in_zone(const beacon& self,
                                                                   base::time_point now) const;

    /// @return live daemons of a zone, this one not included.
    [[nodiscard]] std::size_t live_peer_count_in_zone(const base::zone_id& zone, base::time_point now) const;

    /// @param self what this daemon says of itself.
    /// @return loads of its zone, its own included; queues of prompts count less the older they are.
    [[nodiscard]] service_loads zone_loads(const beacon& self, base::time_point now) const;

    /// @return daemons known, this one included, whether alive or not.
    [[nodiscard]] std::size_t known_count() const noexcept { return peers_.size() + 1; }

    /// Drops daemons that have been silent for long.
    void expire(base::time_point now);

    /// @return daemons alive, this one included.
    [[nodiscard]] std::size_t live_count(base::time_point now) const;

    /// @return live peers.
    [[nodiscard]] std::vector<const beacon*> live_peers(base::time_point now) const;

    /// @return the live peer that says it holds the lease, or null.
    [[nodiscard]] const beacon* lease_holder(base::time_point now) const;

    /// Time of day that most daemons agree on: the median over this daemon and its live peers, since the
    /// clock of a single VM may jump.
    /// @param wall own time of day.
    [[nodiscard]] base::wall_time median_wall_time(base::wall_time wall, base::time_point now) const;

private:
    struct peer {
        beacon last;
        base::time_point heard;
        /// Its time of day less ours.
        std::chrono::milliseconds offset{};
    };

    [[nodiscard]] bool alive(const peer& p, base::time_point now) const;
    [[nodiscard]] std::vector<const peer*> live_in(const base::zone_id& zone, base::time_point now) const;

    base::vm_id self_;
    std::map<base::vm_id, peer> peers_;
    std::set<net::address> listed_;
};

}  // namespace chicorygap::sharing
