/// @file
/// Service that requests are routed to.
#pragma once

#include "base/id.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace chicorygap::catalog {

/// How a service's servers run generations.
struct engine_parameters {
    /// Requests that one server runs at once.
    std::uint32_t slots = 1;
    /// Tokens that fit into the memory of one server.
    std::int64_t kv_capacity_tokens = 0;
    /// Tokens in one event of a stream.
    std::uint32_t tokens_per_event = 1;
    /// Size of the memory of one token; 0 if servers copy no memory from each other.
    std::int64_t kv_bytes_per_token = 0;
    /// Bytes that the link of one server carries in a millisecond; 0 if unknown.
    double link_bytes_per_ms = 0;

    /// @return true if a server can copy prompt parts from another one instead of reading them.
    [[nodiscard]] bool supports_kv_transfer() const noexcept {
        return kv_bytes_per_token > 0 && link_bytes_per_ms > 0;
    }

    bool operator==(const engine_parameters&) const = default;
};

/// How many servers of a service may be ordered, and what they cost.
struct scaling_parameters {
    std::uint32_t min_servers_per_zone = 0;
    std::uint32_t max_servers_per_zone = 0;
    /// Time from an order to the first request.
    base::duration boot_time{};
    /// Price of a reclaimable server relative to the usual one; absent if there are none.
    std::optional<double> reclaimable_price_ratio;
    /// Price of a server per second, by zone.
    std::map<base::zone_id, double> zone_prices;

    bool operator==(const scaling_parameters&) const = default;
};

struct service {
    base::service_id id;
    std::string health_path;
    /// Connections that one server accepts from all callers together; 0 if unknown.
    std::uint32_t max_connections = 0;
    /// Present for services that run generations.
    std::optional<engine_parameters> engine;
    /// Present for services whose servers are ordered.
    std::optional<scaling_parameters> scaling;

    bool operator==(const service&) const = default;
};

}  // namespace chicorygap::catalog
