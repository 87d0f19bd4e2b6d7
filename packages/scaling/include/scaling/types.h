/// @file
/// What the planner knows and decides.
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
    /// Requests that one server runs at once, in slots of the usual server.
    double slots = 1;
    double price_per_hour = 1;
    /// The server may be taken away at a few seconds' notice.
    bool reclaimable = false;
    /// Expected reclaims of one server per hour.
    double reclaims_per_hour = 0;
    /// Servers that the platform can still provide; 0 when it refused an order recently.
    int available = 1000;
};

/// Slots in use or wanted in one zone.
struct demand {
    base::zone_id zone;
    /// Urgent and non-idempotent work, which must not depend on reclaimable servers.
    double reserved_slots = 0;
    /// All other work.
    double flexible_slots = 0;
};

enum class server_state { booting, active, draining };

/// One backend server of the service.
struct server {
    base::backend_server_id id;
    server_kind_id kind;
    base::zone_id zone;
    server_state state = server_state::active;
    int running = 0;
};

/// Rules of one service.
struct policy {
    /// Share of the slots that demand may occupy; the rest absorbs bursts while servers start.
    double target_utilisation = 0.7;
    /// Demand falls only as fast as its maximum over this time, so that a short lull releases nothing.
    base::duration release_delay = std::chrono::minutes{10};
    /// Demand must exceed the capacity by this factor before a server is requested.
    double request_tolerance = 1.05;
    /// Largest share of a zone's flexible slots on reclaimable servers.
    double max_reclaimable_share = 0.7;
    /// Time from an order to the first request on the server.
    base::duration start_time = std::chrono::minutes{3};
    /// No reclaimable server is requested in a zone for this long after a reclaim there.
    base::duration reclaim_backoff = std::chrono::minutes{15};
    /// Part of a zone's servers that may drain at the same time (at least one).
    double max_draining_share = 0.1;
    int min_servers_per_zone = 1;
    /// Reserved work fits even when any one zone is lost.
    bool survive_zone_loss = true;
};

// Events.
struct offers_changed {
    std::vector<offer> offers;
};
struct servers_changed {
    std::vector<server> servers;
};
struct demand_measured {
    std::vector<demand> zones;
};
struct server_reclaimed {
    base::zone_id zone;
};
struct policy_changed {
    policy value;
};
/// Asks for decisions, expected every 10 s. The decisions assume that the actions of the previous tick are
/// visible in `servers_changed`; a request that is not must be repeated only by `orders`.
struct tick {};
using event =
    std::variant<offers_changed, servers_changed, demand_measured, server_reclaimed, policy_changed, tick>;

// Actions.
struct request_servers {
    server_kind_id kind;
    base::zone_id zone;
    int count = 0;
};
/// Send nothing new to the server.
struct drain_server {
    base::backend_server_id id;
};
/// The server is needed again before its drain ended.
struct keep_server {
    base::backend_server_id id;
};
/// The drained server runs nothing and is given back.
struct release_server {
    base::backend_server_id id;
};
using action = std::variant<request_servers, drain_server, keep_server, release_server>;

}  // namespace chicorygap::scaling
