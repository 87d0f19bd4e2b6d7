/// @file
/// How many servers of a service are wanted in each zone.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "catalog/backend_server.h"
#include "catalog/service.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace chicorygap::duties {

/// Load of a service over the whole fleet.
struct service_demand {
    /// Requests that run or wait.
    double requests = 0;
    /// Prompt tokens that servers have to read, per second.
    double prompt_tokens_per_s = 0;
    /// Prompt tokens that one server reads in a second; 0 if unknown.
    double prefill_tokens_per_s_per_server = 0;
};

/// Wanted number of servers of one kind in one zone.
struct capacity_request {
    base::zone_id zone;
    bool reclaimable = false;
    std::uint32_t count = 0;

    bool operator==(const capacity_request&) const = default;
};

enum class capacity_result {
    accepted,
    unavailable,  ///< there are none of this kind in the zone at the moment
    failed,       ///< no answer; it may be carried out later
};

/// Decides how many servers of one service are wanted in each zone.
///
/// Concept: demand counts at its highest over some time, so that a lull releases nothing. Reclaimable servers
/// carry the load where they are cheaper, with enough of them that the loss of all in one zone can be borne;
/// each zone keeps one server that stays. Servers that stay are released only after others are there, and
/// ordered while there are no reclaimable ones.
///
/// Usage: `observe` every second, then send the orders of `orders` and pass their results to `ordered`.
class autoscaler {
public:
    /// @param listed_since when this daemon first knew servers: nothing is ordered before a list had time to
    /// fill.
    autoscaler(catalog::scaling_parameters terms, std::uint32_t slots, base::time_point listed_since);

    /// @param servers all servers of the service.
    void observe(const service_demand& d, const std::vector<catalog::backend_server>& servers,
                 base::time_point now);

    /// @return orders that differ from the last accepted ones, or that must be repeated.
    std::vector<capacity_request> due_capacity_requests(base::time_point now);

    void capacity_request_finished(const capacity_request& o, capacity_result r, base::time_point now);

    /// @return servers that the demand needs in total.
    [[nodiscard]] double needed() const;

private:
    using kind = std::pair<base::zone_id, bool>;
    struct order_state {
        std::uint32_t wanted = 0;
        std::uint32_t accepted = 0;
        bool known = false;
        bool in_flight = false;
        bool unavailable = false;  ///< there were none of this kind at the last order
        base::time_point retry_at;
        base::time_point accepted_at;
    };

    void plan();
    [[nodiscard]] std::uint32_t present(const base::zone_id& zone, bool reclaimable) const;

    catalog::scaling_parameters terms_;
    double slots_;
    std::deque<std::pair<base::time_point, double>> history_;
    std::map<kind, std::uint32_t> present_;
    std::map<kind, order_state> states_;
    base::time_point listed_since_;
    std::optional<base::time_point> first_observed_;
    std::optional<base::time_point> first_load_;
    double found_reclaimable_ = 0;
    double found_ = 0;    ///< servers found at first
    double assumed_ = 0;  ///< servers taken for needed while little load was seen
};

}  // namespace chicorygap::duties
