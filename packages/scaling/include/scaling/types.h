/// @file
/// Events, actions and settings of the capacity planner.
#pragma once

#include "base/id.h"
#include "base/time.h"

#include <variant>
#include <vector>

namespace chicorygap::scaling {

using server_kind_id = base::id<struct server_kind_tag>;

/// Kind of backend server that can be requested in one zone.
struct offer {
    server_kind_id kind;
    base::zone_id zone;
    /// Number of requests that one server runs concurrently, in slots of a standard server.
    double slots = 1;
    double price_per_hour = 1;
    /// The provider may reclaim the server at a few seconds' notice.
    bool reclaimable = false;
    /// Expected number of reclaims of one server per hour.
    double reclaims_per_hour = 0;
    /// Number of servers that the platform can still provide; 0 if it recently refused a request.
    int available_servers = 1000;
};

/// Demand of one zone, in slots that are in use or needed.
struct demand {
    base::zone_id zone;
    /// Demand of urgent and non-idempotent requests, which must not depend on reclaimable servers.
    double reserved_slots = 0;
    /// Demand of all other requests.
    double flexible_slots = 0;
};

enum class server_state { booting, active, draining };

/// One backend server of the service.
struct server {
    base::backend_server_id id;
    server_kind_id kind;
    base::zone_id zone;
    server_state state = server_state::active;
    /// Number of requests that the server is running.
    int running_requests = 0;
};

/// Scaling policy of one service.
struct policy {
    /// Fraction of the slots that demand may occupy; the rest absorbs bursts while servers start.
    double target_utilization = 0.7;
    /// The maximum demand over this window determines the capacity, so that a short drop in demand releases
    /// no servers.
    base::duration scale_down_window = std::chrono::minutes{10};
    /// Ratio of required to current slots above which servers are requested.
    double scale_up_threshold_ratio = 1.05;
    /// Largest fraction of a zone's flexible slots that may be on reclaimable servers.
    double max_reclaimable_share = 0.7;
    /// Time between the request for a server and the first request that the server runs.
    base::duration startup_time = std::chrono::minutes{3};
    /// Time after a reclaim in a zone during which no reclaimable server is requested there.
    base::duration reclaim_backoff = std::chrono::minutes{15};
    /// Fraction of a zone's servers that may drain at the same time; at least one server may drain.
    double max_draining_share = 0.1;
    int min_servers_per_zone = 1;
    /// The reserved slots suffice for all reserved demand even if any one zone fails.
    bool tolerate_zone_failure = true;
};

// Events.
/// Complete list of the offers; replaces the previous list.
struct offers_changed {
    std::vector<offer> offers;
};
/// Complete list of the servers of the service; replaces the previous list.
struct servers_changed {
    std::vector<server> servers;
};
/// Measured demand of the listed zones.
struct demand_measured {
    std::vector<demand> zones;
};
/// The provider has reclaimed a server in the zone.
struct server_reclaimed {
    base::zone_id zone;
};
/// The scaling policy has changed.
struct policy_changed {
    policy value;
};
/// Periodic event that triggers decisions, expected every 10 s. The decisions assume that the latest
/// `servers_changed` reflects the actions of the previous tick. Only the component that sends the requests to
/// the platform may repeat a request whose servers are not listed yet.
struct tick {};
using event =
    std::variant<offers_changed, servers_changed, demand_measured, server_reclaimed, policy_changed, tick>;

// Actions.
/// Request servers of one kind from the platform.
struct request_servers {
    server_kind_id kind;
    base::zone_id zone;
    int count = 0;
};
/// Send no new requests to the server.
struct drain_server {
    base::backend_server_id id;
};
/// Return a draining server to the active state, because demand has risen.
struct cancel_drain {
    base::backend_server_id id;
};
/// Return a drained server, which runs no requests, to the platform.
struct release_server {
    base::backend_server_id id;
};
using action = std::variant<request_servers, drain_server, cancel_drain, release_server>;

}  // namespace chicorygap::scaling
