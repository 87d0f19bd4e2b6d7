/// @file
/// Division of a server's rate limit among the daemons.
#pragma once

#include "backpressure/signal_report.h"
#include "base/decaying_rate.h"
#include "base/id.h"
#include "base/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace chicorygap::backpressure {

/// Size of the fleet and the time in which its daemons learn of each other.
struct fleet_parameters {
    /// A server's limit is divided among the daemons of its zone only, since daemons of other zones tell this
    /// one nothing of their demand.
    bool within_zones = false;
    /// Time in which all daemons learn of a change.
    base::duration settle_time = std::chrono::milliseconds{400};
    /// Time without a beacon after which a peer counts as silent.
    base::duration silence_time = std::chrono::milliseconds{1200};
    /// Daemons that share the limits, including this one and those that were not heard of.
    std::size_t known_daemons = 1;
    /// Those of them that are registered; absent if that is not known. The others may be addresses of daemons
    /// that ended long ago.
    std::optional<std::size_t> registered_daemons;

    bool operator==(const fleet_parameters&) const = default;
};

/// Part of a server's limit that this daemon may use.
struct limit_share {
    /// 0 if the daemon is not among those that send to the server.
    double fraction = 0;
    /// All daemons among which the limit is divided were heard of recently.
    bool complete = true;
    /// Daemons among which the limit is divided.
    std::size_t daemons = 1;

    bool operator==(const limit_share&) const = default;
};

/// Place of this daemon among those that may send to a server.
struct sender_place {
    /// Number of daemons that come before this one. Daemons that were not heard of yet count as such. Absent
    /// if only daemons of another zone send to the server.
    std::optional<std::size_t> rank;
    /// Daemons among which the senders are selected, heard of or not.
    std::size_t daemons = 1;
};

/// Demand of the daemons of the fleet, by which the limits of servers are divided.
///
/// Concept: a limit of a few requests per second is useless when each of many daemons has an equal part, so
/// that it is divided among a few daemons that rendezvous hashing selects for each server, in proportion to
/// the requests that they receive. All daemons compute the same division from the demands in their beacons. A
/// daemon that falls silent keeps its part, because it may only be cut off from this one.
///
/// Usage: `t.record_arrival(service, now); t.observe_peer(...); t.share(server, service, zone, rate, now);`
/// Performs no I/O and reads no clock.
class demand_table {
public:
    /// @param started_at start of this daemon.
    demand_table(base::vm_id self, base::zone_id zone, base::time_point started_at);

    void set_parameters(const fleet_parameters& p) { parameters_ = p; }
    [[nodiscard]] const fleet_parameters& parameters() const noexcept { return parameters_; }

    /// Counts a request of a caller.
    void record_arrival(const base::service_id& service, base::time_point now);

    /// Records a beacon of a peer.
    /// @param demands requests per second by service, as the peer reported them.
    /// @param stopping the peer is shutting down, so that its later silence means that it has ended.
    void observe_peer(const base::vm_id& vm, const base::zone_id& zone,
                      const std::map<base::service_id, double>& demands, bool stopping, base::time_point now);

    /// Removes peers that have ended, or that have been silent for long.
    void expire(base::time_point now);

    /// @return requests per second of this daemon's callers, by service.
    [[nodiscard]] std::map<base::service_id, double> local_demands(base::time_point now) const;

    /// @return requests per second of the callers of this daemon and of the peers that were heard of
    /// recently. Peers tell their demand only while servers name limits.
    [[nodiscard]] double known_demand(const base::service_id& service, base::time_point now) const;
    /// @return number of daemons that `known_demand` covers.
    [[nodiscard]] std::size_t known_demand_daemons(base::time_point now) const;

    /// @param rate limit of the server in requests per second.
    /// @return the part of this daemon.
    [[nodiscard]] limit_share share(server_key server, const base::service_id& service,
                                    const base::zone_id& server_zone, double rate,
                                    base::time_point now) const;

    /// Ranks the daemons for a server by rendezvous hashing alone, whatever their demand. A silent daemon
    /// keeps its place longer than its part of a limit.
    [[nodiscard]] sender_place place(server_key server, const base::zone_id& server_zone,
                                     base::time_point now) const;
    [[nodiscard]] base::time_point started_at() const noexcept { return started_at_; }

private:
    struct peer {
        base::zone_id zone;
        std::uint64_t vm_hash = 0;
        std::map<base::service_id, double> demands;
        bool stopping = false;
        base::time_point heard_at;
    };
    /// A daemon among which a limit may be divided.
    struct candidate {
        std::uint64_t weight = 0;  ///< of rendezvous hashing
        double demand = 0;         ///< requests per second
        bool self = false;
        bool silent = false;
    };

    /// A daemon that was heard of, remembered longer than its demand.
    struct member {
        base::zone_id zone;
        std::uint64_t vm_hash = 0;
        bool stopping = false;
        base::time_point heard_at;
    };

    /// @return requests per second.
    [[nodiscard]] static double mean_demand(const std::vector<candidate>& list);
    /// @param others other daemons that count.
    /// @return zone whose daemons send to the server.
    template <typename Daemons>
    [[nodiscard]] base::zone_id sending_zone(server_key server, const base::zone_id& server_zone,
                                             const Daemons& others) const;
    [[nodiscard]] std::vector<candidate> candidates(server_key server, const base::service_id& service,
                                                    const base::zone_id& server_zone,
                                                    base::time_point now) const;

    base::vm_id self_;
    base::zone_id zone_;
    std::uint64_t self_hash_;
    base::time_point started_at_;
    fleet_parameters parameters_;
    std::map<base::service_id, base::decaying_rate> arrivals_;
    std::map<base::vm_id, peer> peers_;
    std::map<base::vm_id, member> members_;
};

}  // namespace chicorygap::backpressure
