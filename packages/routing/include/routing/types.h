/// @file
/// Parameters, results and settings of the router.
#pragma once

#include "base/id.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chicorygap::routing {

/// Entry of the server list.
struct server_info {
    base::backend_server_id id{};
    base::zone_id zone{};
    /// Number of requests that the server runs concurrently.
    int slots = 1;
    /// Speed of one slot relative to a standard server.
    double speed = 1.0;
    /// Price per hour relative to a standard server.
    double cost = 1.0;
    /// The provider may reclaim the server at a few seconds' notice.
    bool reclaimable = false;
    /// The server completes its requests in flight and accepts no new requests.
    bool draining = false;
    /// Loaded models; empty for a service without models.
    std::vector<std::string> models{};
};

/// Identifier of one attempt of a request.
struct attempt_id {
    base::request_id request{};
    /// Number of the attempt, starting at 1.
    std::uint32_t attempt = 1;

    bool operator==(const attempt_id&) const = default;
};

/// Number of requests that one daemon has in flight on one server.
struct server_in_flight {
    base::backend_server_id server{};
    int in_flight = 0;

    bool operator==(const server_in_flight&) const = default;
};

/// One daemon of the fleet.
struct peer_info {
    base::vm_id id{};
    base::zone_id zone{};
};

/// Properties of a request that determine which servers are eligible.
struct route_request {
    /// Required model; empty for a service without models.
    std::string model{};
    /// Urgent requests use reclaimable servers only if no other server has a free slot.
    bool urgent = false;
    /// Non-idempotent requests use reclaimable servers only if no other server has a free slot.
    bool idempotent = true;
    /// Hashes of the prompt's prefixes, shortest first. Servers that have the longest cached prefix are
    /// preferred.
    std::vector<std::uint64_t> prefixes{};
    /// Servers that must not be selected, usually those of earlier attempts.
    std::vector<base::backend_server_id> excluded{};
};

/// Result of server selection.
struct selected_server {
    base::backend_server_id server{};
    base::zone_id zone{};
    /// The server was selected because it has a prefix of the prompt cached.
    bool selected_by_prefix = false;
    /// The server had a free slot according to its estimated load.
    bool has_free_slot = true;
};

/// State of one server as the router sees it, for status pages and metrics.
struct server_status {
    base::backend_server_id id{};
    base::zone_id zone{};
    /// Estimated requests on the server, from all daemons.
    int load = 0;
    /// Requests that this daemon has in flight on the server.
    int own_in_flight = 0;
    int slots = 0;
    bool draining = false;
    bool ejected = false;
    /// Fraction of its normal traffic that the server receives; below 1 while it is ejected, in slow start,
    /// or an outlier that could not be ejected.
    double weight = 1.0;
};

/// Settings of outlier ejection.
struct ejection_options {
    /// Number of consecutive failures after which a server is ejected.
    int consecutive_failures = 5;
    /// A server is ejected if its mean latency exceeds the median of its group by this factor.
    double latency_factor = 3.0;
    /// Number of latency samples of a server before its mean is compared.
    int min_latency_samples = 10;
    /// Largest fraction of a group that may be ejected at the same time.
    double max_ejected_share = 0.30;
    /// Duration of the first ejection. Each consecutive ejection lasts this much longer, up to
    /// `max_ejection_time`.
    base::duration base_ejection_time = std::chrono::seconds{5};
    base::duration max_ejection_time = std::chrono::seconds{60};
    /// Time after an ejection over which the weight of the server grows from 0.1 to 1.
    base::duration slow_start_window = std::chrono::seconds{10};
};

/// Settings of a router.
struct options {
    /// VM of this daemon; determines the daemon's subset of servers.
    base::vm_id self{};
    base::zone_id zone{};
    /// Number of servers that this daemon uses per zone and model when subsetting is active.
    std::size_t subset_size = 40;
    /// Subsetting is active only if each server is in the subsets of at least this many daemons on average.
    /// Servers in few subsets receive uneven load, and a server in no subset is idle.
    double min_daemons_per_server = 4.0;
    /// Largest load of a server, relative to the mean of its group, at which prefix affinity still selects
    /// it.
    double max_affinity_load_ratio = 1.25;
    /// A load report older than this is ignored in favor of the daemons' own counts.
    base::duration max_report_age = std::chrono::seconds{15};
    ejection_options ejection{};
};

}  // namespace chicorygap::routing
