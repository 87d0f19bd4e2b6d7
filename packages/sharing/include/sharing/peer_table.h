/// @file
/// Peers of this daemon and their last beacons.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "sharing/beacon.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
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

/// @return time within which all daemons usually know what one of them has told its peers and what these have
/// answered.
base::duration news_delay(std::size_t fleet_size);

/// Daemons of each zone that exchange digests with other zones. The second one covers for the first.
inline constexpr std::size_t representatives_per_zone = 2;

/// With digests, the data that a daemon receives and the traffic between zones grow with the number of zones
/// instead of the size of the fleet.
/// @param fleet_size number of daemons.
/// @return true if only representatives of the zones exchange beacons, which are digests of their zones.
bool uses_zone_digests(std::size_t fleet_size);

/// @param zone_size number of daemons in the zone.
/// @return interval between two digests of one representative of the zone.
base::duration digest_interval(std::size_t zone_size);

/// Daemon that is registered in the platform's store.
struct registered_daemon {
    base::vm_id vm;
    net::address peer_address;
    base::zone_id zone;         ///< empty if unknown
    float processor_share = 0;  ///< CPU share of its VM, as a fraction of one core
    float link_mbits = 0;       ///< speed of its VM's network link in Mbit/s; 0 if unknown

    bool operator==(const registered_daemon&) const = default;
};

/// Daemon that holds the fleet's lease.
struct lease_location {
    std::uint64_t term = 0;
    base::zone_id zone;
    net::address peer_address;

    bool operator==(const lease_location&) const = default;
};

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

    /// @return true if a beacon of this run of the daemon was observed.
    [[nodiscard]] bool knows(const base::vm_id& vm, std::uint64_t incarnation) const;

    /// Adds an address to send beacons to, taken from the platform's daemon list, the settings or a peer.
    /// @param zone zone of the daemon; empty if it is unknown.
    void add_address(const net::address& a, const base::zone_id& zone = {});

    /// Adds the registered daemons. In a large fleet only those of this daemon's zone get regular beacons;
    /// the others are candidates for the representatives of their zones.
    /// @param own_zone zone of this daemon.
    void add_registered(const std::vector<registered_daemon>& daemons, const base::zone_id& own_zone);

    /// @return the number of registered daemons; 0 if the list was not read.
    [[nodiscard]] std::size_t registered_count() const noexcept { return registered_count_; }

    /// @return the number of daemons in the fleet, from registrations, peers and zone digests.
    [[nodiscard]] std::size_t fleet_size(const base::zone_id& own_zone, base::time_point now) const;

    /// Finds the daemons of the other zones that receive zone digests: live representatives, and registered
    /// daemons by rank where fewer are known.
    [[nodiscard]] std::vector<net::address> representatives_outside_zone(const base::zone_id& zone,
                                                                         base::time_point now) const;

    /// @return the added addresses without a known peer whose zone is unknown.
    [[nodiscard]] std::vector<net::address> unlocated_addresses() const;

    /// @return this daemon and the live peers of its zone that can reach the store and are not shutting down,
    /// in descending order of rank, as far as the limit allows.
    [[nodiscard]] std::vector<beacon> store_mirrors(const beacon& self, std::size_t limit,
                                                    base::time_point now) const;

    /// @return the addresses of all known peers, and the added addresses without a known peer.
    [[nodiscard]] std::vector<net::address> addresses() const;

    /// @return the addresses of the known peers in a zone.
    [[nodiscard]] std::vector<net::address> addresses_in_zone(const base::zone_id& zone) const;

    /// @return the addresses of the known peers outside a zone, and the added addresses without a known peer,
    /// whose zone is unknown.
    [[nodiscard]] std::vector<net::address> addresses_outside_zone(const base::zone_id& zone) const;

    /// Finds the daemons to prefer as zone representative or store mirror. Daemons of a zone are ranked by
    /// their link, thin ones last, then by descending CPU share, then by VM id, so that all of them compute
    /// the same order.
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

    /// @return the number of live daemons, including this one. Zones that send digests count with the number
    /// in their latest one.
    [[nodiscard]] std::size_t live_count(base::time_point now) const;

    /// @return the last beacons of the live peers.
    [[nodiscard]] std::vector<const beacon*> live_peers(base::time_point now) const;

    /// Uses a shorter timeout than the other queries, so that a lost lease holder is replaced sooner.
    /// @return the peer that holds the lease, by its own beacon or a digest of its zone, or nothing.
    [[nodiscard]] std::optional<lease_location> lease_holder(base::time_point now) const;

    /// Adds what a zone digest tells about this daemon's zone.
    /// @param self beacon of this daemon, which becomes the digest.
    void add_zone_summary(beacon& self, base::time_point now) const;

    /// Estimates the wall time from the clocks of the fleet, because the clock of a single VM may jump.
    /// @param wall local wall clock.
    /// @return the median of the wall clocks of this daemon and its live peers.
    [[nodiscard]] base::wall_time median_wall_time(base::wall_time wall, base::time_point now) const;

private:
    /// What a representative last told about its zone.
    struct zone_digest {
        std::uint32_t daemons = 0;  ///< 0 if the peer has sent no digest
        std::uint64_t lease_term = 0;
        net::address lease_address;
        base::time_point received_at;
    };
    struct peer {
        beacon last_beacon;
        base::time_point received_at;
        /// Time of the last beacon with loads.
        base::time_point loads_received_at;
        /// Wall clock of the peer minus the local wall clock at receipt.
        std::chrono::milliseconds clock_offset{};
        zone_digest digest;
    };

    [[nodiscard]] static bool has_digest(const peer& p, base::time_point now);
    [[nodiscard]] base::duration holder_timeout() const;
    [[nodiscard]] bool is_live(const peer& p, base::time_point now) const;
    /// @param selected called with the zone of each address.
    [[nodiscard]] std::vector<net::address> unconfirmed_addresses(
        const std::function<bool(const base::zone_id&)>& selected) const;
    [[nodiscard]] std::vector<const peer*> live_peers_in_zone(const base::zone_id& zone,
                                                              base::time_point now) const;

    base::vm_id self_;
    std::map<base::vm_id, peer> peers_;
    /// Added addresses from which no beacon was received yet, with their zones; empty if unknown.
    std::map<net::address, base::zone_id> unconfirmed_addresses_;
    /// Registered daemons of other zones in descending order of rank.
    std::vector<registered_daemon> registered_outside_zone_;
    std::size_t registered_count_ = 0;
};

}  // namespace chicorygap::sharing
