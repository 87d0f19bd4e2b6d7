/// @file
/// Computes the number of servers that a service needs in each zone.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "catalog/backend_server.h"
#include "catalog/service.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace chicorygap::duties {

/// Load of a service over the whole fleet.
struct service_demand {
    /// Running and waiting requests.
    double requests = 0;
    /// Prompt tokens per second that servers must prefill, without cached prefixes.
    double prefill_tokens_per_s = 0;
    /// Prefill speed of one server in prompt tokens per second; 0 if unknown.
    double prefill_tokens_per_s_per_server = 0;
    /// Requests per second that callers send; 0 if unknown.
    double arrivals_per_s = 0;
    /// Requests per second that servers take at most, as far as they have named a limit.
    std::map<base::backend_server_id, double> server_limits;
    /// Zones whose servers get no requests.
    std::set<base::zone_id> evacuated_zones;
};

/// Request to set the number of reserved or of reclaimable servers in one zone.
struct capacity_request {
    base::zone_id zone;
    bool reclaimable = false;
    /// Desired total, including the servers that already run.
    std::uint32_t count = 0;

    bool operator==(const capacity_request&) const = default;
};

/// Outcome of a capacity request.
enum class capacity_result {
    accepted,
    unavailable,  ///< the platform has no such servers in the zone at the moment
    failed,       ///< no response; the platform may still carry the request out later
};

/// Decides how many servers one service needs in each zone.
///
/// Concept: the maximum demand over a time window counts, so that a short lull does not release servers.
/// Reclaimable servers carry the load if they are cheaper than reserved ones. Their number allows for the
/// loss of all reclaimable servers in one zone, and each zone keeps at least one reserved server. Further
/// reserved servers are released only after reclaimable ones have started, and requested while the platform
/// has no reclaimable ones.
///
/// The servers of an evacuated zone are no capacity: the other zones get the requests for what they lack at
/// once. Requests for an evacuated zone are held back until it returns, so that it neither gets servers that
/// nothing uses nor loses those that are needed when it returns.
///
/// A server that names a rate limit below the rate that a server has to take counts only in part.
///
/// Usage: call `observe` every second, send the requests that `due_capacity_requests` returns, and pass each
/// result to `capacity_request_finished`.
class autoscaler {
public:
    /// @param parameters limits and prices of the service.
    /// @param slots requests that one server runs concurrently.
    /// @param servers_known_since time at which this daemon first knew any servers. No requests are due until
    /// the remaining servers have had time to register.
    autoscaler(catalog::scaling_parameters parameters, std::uint32_t slots,
               base::time_point servers_known_since);

    /// Updates the desired numbers of servers.
    /// @param d current load.
    /// @param servers all servers of the service, including draining ones.
    void observe(const service_demand& d, const std::vector<catalog::backend_server>& servers,
                 base::time_point now);

    /// @return the requests to send now: numbers that differ from the last accepted ones, and repetitions of
    /// failed or overdue requests. Each is in flight until `capacity_request_finished` is called for it.
    std::vector<capacity_request> due_capacity_requests(base::time_point now);

    /// Records the result of a request.
    void capacity_request_finished(const capacity_request& request, capacity_result result,
                                   base::time_point now);

    /// @return the number of servers that the demand requires in all zones together.
    [[nodiscard]] double required_servers() const;

private:
    /// Zone, and true for reclaimable servers.
    using pool_key = std::pair<base::zone_id, bool>;
    struct pool_state {
        std::uint32_t desired = 0;
        std::uint32_t accepted = 0;  ///< count of the last accepted request
        bool has_accepted = false;
        bool in_flight = false;
        bool unavailable = false;   ///< result of the last answered request
        bool lost_servers = false;  ///< servers were lost since the last request
        base::time_point retry_at;
        base::time_point accepted_at;
    };

    /// Determines by how many servers the limits of servers reduce the capacity of each zone.
    void record_limits(const service_demand& d, const std::vector<catalog::backend_server>& servers);
    void plan();
    /// @param previous_count number of active servers at the previous observation.
    void record_loss(const pool_key& k, std::uint32_t previous_count);
    /// @return the zones that keep a reserved server whatever the load.
    [[nodiscard]] std::set<base::zone_id> zones_with_reserved_server() const;
    /// @return the zones with prices that are not evacuated, by price.
    [[nodiscard]] std::vector<std::pair<double, base::zone_id>> usable_zones() const;
    [[nodiscard]] std::uint32_t active_count(const base::zone_id& zone, bool reclaimable) const;

    catalog::scaling_parameters parameters_;
    double slots_per_server_;
    /// Number of servers that the demand required at each recent observation.
    std::deque<std::pair<base::time_point, double>> requirement_history_;
    /// Servers that are not draining.
    std::map<pool_key, std::uint32_t> active_counts_;
    std::map<pool_key, pool_state> pools_;
    /// Capacity that limited servers lack, in servers.
    std::map<base::zone_id, double> lacking_servers_;
    std::set<base::zone_id> evacuated_zones_;
    base::time_point servers_known_since_;
    std::optional<base::time_point> first_observed_at_;
    std::optional<base::time_point> first_load_at_;
    double initial_reclaimable_ = 0;  ///< maximum of reclaimable servers seen before requests were due
    double initial_servers_ = 0;      ///< maximum of assumed_required_ in the learning phase
    double assumed_required_ = 0;     ///< servers assumed to be required until enough load was observed
};

}  // namespace chicorygap::duties
