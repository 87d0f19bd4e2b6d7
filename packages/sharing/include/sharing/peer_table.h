/// @file
/// Peers of this daemon and their last beacons.
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

/// The interval grows with the fleet, which bounds the number of messages that a daemon sends and receives
/// per second.
/// @param fleet_size number of daemons.
/// @return interval between two beacons to the same peer.
base::duration beacon_interval(std::size_t fleet_size);

/// The timeout covers several consecutive lost beacons.
/// @param fleet_size number of daemons.
/// @return time without a beacon after which a peer is considered dead.
base::duration peer_timeout(std::size_t fleet_size);

/// With sums, the load data that a daemon receives and the traffic between zones grow with the number of
/// zones instead of the size of the fleet.
/// @param fleet_size number of daemons.
/// @return true if zones exchange the sums of their loads instead of the loads of each daemon.
bool aggregates_loads_by_zone(std::size_t fleet_size);

/// Peers of this daemon and their last beacons.
///
/// Usage: `if (t.observe(b, wall, now)) { ... }` for each received beacon. The queries take the current time.
/// Performs no I/O and reads no clock.
class peer_table {
public:
    explicit peer_table(base::vm_id self) : self_{std::move(self)} {}

    /// Records a received beacon.
    /// @param wall local wall clock at receipt.
    /// @param now monotonic time at receipt.
    /// @return false if the beacon was ignored: it is this daemon's own, names no VM, or is older than the
    /// peer's last one.
    bool observe(const beacon& b, base::wall_time wall, base::time_point now);

    /// Adds an address to send beacons to, taken from the platform's daemon list or from the settings.
    void add_address(const net::address& a);

    /// @return the addresses of all known peers, and the added addresses without a known peer.
    [[nodiscard]] std::vector<net::address> addresses() const;

    /// @return the addresses of the known peers in a zone.
    [[nodiscard]] std::vector<net::address> addresses_in_zone(const base::zone_id& zone) const;

    /// @return the addresses of the known peers outside a zone, and the added addresses without a known peer,
    /// whose zone is unknown.
    [[nodiscard]] std::vector<net::address> addresses_outside_zone(const base::zone_id& zone) const;

    /// Finds the daemons to prefer as zone representative or store mirror. Daemons of a zone are ranked by
    /// descending CPU share, then by VM id, so that all of them compute the same order.
    /// @param self current beacon of this daemon.
    /// @return last beacons of the live peers in this daemon's zone that rank higher and are not shutting
    /// down, in order of rank.
    [[nodiscard]] std::vector<const beacon*> higher_ranked_in_zone(const beacon& self,
                                                                   base::time_point now) const;

    /// @return the number of live peers in a zone, without this daemon.
    [[nodiscard]] std::size_t live_peer_count_in_zone(const base::zone_id& zone, base::time_point now) const;

    /// Sums the loads of this daemon and of the live peers in its zone.
    /// @param self current beacon of this daemon.
    /// @return the sums by service. Prefill queues in older reports are weighted less.
    [[nodiscard]] service_loads zone_loads(const beacon& self, base::time_point now) const;

    /// @return the number of known daemons, live or dead, including this one.
    [[nodiscard]] std::size_t known_count() const noexcept { return peers_.size() + 1; }

    /// Removes peers without a recent beacon.
    void expire(base::time_point now);

    /// @return the number of live daemons, including this one.
    [[nodiscard]] std::size_t live_count(base::time_point now) const;

    /// @return the last beacons of the live peers.
    [[nodiscard]] std::vector<const beacon*> live_peers(base::time_point now) const;

    /// Uses a shorter timeout than the other queries, so that a lost lease holder is replaced sooner.
    /// @return the last beacon of the peer that reports to hold the lease, or null.
    [[nodiscard]] const beacon* lease_holder(base::time_point now) const;

    /// Estimates the wall time from the clocks of the fleet, because the clock of a single VM may jump.
    /// @param wall local wall clock.
    /// @return the median of the wall clocks of this daemon and its live peers.
    [[nodiscard]] base::wall_time median_wall_time(base::wall_time wall, base::time_point now) const;

private:
    struct peer {
        beacon last_beacon;
        base::time_point received_at;
        /// Wall clock of the peer minus the local wall clock at receipt.
        std::chrono::milliseconds clock_offset{};
    };

    [[nodiscard]] bool is_live(const peer& p, base::time_point now) const;
    [[nodiscard]] std::vector<const peer*> live_peers_in_zone(const base::zone_id& zone,
                                                              base::time_point now) const;

    base::vm_id self_;
    std::map<base::vm_id, peer> peers_;
    /// Added addresses from which no beacon was received yet.
    std::set<net::address> unconfirmed_addresses_;
};

}  // namespace chicorygap::sharing
