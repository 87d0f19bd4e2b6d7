/// @file
/// Values that a router receives and returns.
#pragma once

#include "base/id.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chicorygap::routing {

/// One backend server of the service, as the server list describes it.
struct server_info {
    base::backend_server_id id{};
    base::zone_id zone{};
    /// Requests that the server runs at once.
    int slots = 1;
    /// Relative speed of one slot; 1 is the usual server.
    double speed = 1.0;
    /// Price per hour relative to the usual server.
    double cost = 1.0;
    /// The server may be taken away at a few seconds' notice.
    bool reclaimable = false;
    /// The server finishes its requests and takes no new ones.
    bool draining = false;
    /// Loaded models; empty for a plain service.
    std::vector<std::string> models{};
};

/// One attempt of one request.
struct attempt_id {
    base::request_id request{};
    std::uint32_t attempt = 1;

    bool operator==(const attempt_id&) const = default;
};

/// Requests of one daemon in flight on one server.
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

/// What the router needs to know about a request.
struct route_request {
    /// Required model; empty for a plain service.
    std::string model{};
    /// Urgent requests avoid reclaimable servers while others have room.
    bool urgent = false;
    /// Non-idempotent requests avoid reclaimable servers while others have room.
    bool idempotent = true;
    /// Hashes of the prompt's prefixes, shortest first. The longest cached one attracts the request.
    std::vector<std::uint64_t> prefixes{};
    /// Servers that must not be chosen, usually those that earlier attempts used.
    std::vector<base::backend_server_id> excluded{};
};

/// The selected server.
struct selected_server {
    base::backend_server_id server{};
    base::zone_id zone{};
    /// Selected for its cached prefix.
    bool prefix_cached = false;
    /// The server had a free slot by the router's estimate.
    bool has_free_slot = true;
};

/// Router's view of one server, for status pages and metrics.
struct server_status {
    base::backend_server_id id{};
    base::zone_id zone{};
    /// Corrected load in requests.
    int load = 0;
    int own_in_flight = 0;
    int slots = 0;
    bool draining = false;
    bool ejected = false;
    /// Share of its normal traffic that the server receives, below 1 while it returns from ejection.
    double weight = 1.0;
};

/// Thresholds of outlier ejection.
struct ejection_options {
    /// Failures in a row that eject a server.
    int consecutive_failures = 5;
    /// A server whose mean latency exceeds the median of its group by this factor is ejected.
    double latency_factor = 3.0;
    /// Latency samples of a server before its mean is compared.
    int minimum_samples = 10;
    /// Largest share of a group that may be ejected at the same time.
    double maximum_share = 0.30;
    /// Duration of the first ejection; each further one adds the same again up to `longest`.
    base::duration first = std::chrono::seconds{5};
    base::duration longest = std::chrono::seconds{60};
    /// Time over which a returning server's weight grows from 0.1 to 1.
    base::duration return_time = std::chrono::seconds{10};
};

/// Settings of a router.
struct options {
    /// This daemon; selects its subset of servers.
    base::vm_id self{};
    base::zone_id zone{};
    /// Servers used per zone and model at large sizes.
    std::size_t subset_size = 40;
    /// Subsets are used only when every server is expected in this many daemons' subsets, because servers in
    /// few subsets receive uneven load and a server in none is idle.
    double subset_coverage = 4.0;
    /// Largest load of a server, relative to the mean, at which prefix affinity still selects it.
    double affinity_imbalance = 1.25;
    /// A load report older than this is replaced by the daemons' own counts.
    base::duration report_lifetime = std::chrono::seconds{15};
    ejection_options ejection{};
};

}  // namespace chicorygap::routing
