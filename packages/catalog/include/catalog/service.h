/// @file
/// Services, which are groups of backend servers.
#pragma once

#include "base/id.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace chicorygap::catalog {

/// Inference engine of the servers of a service.
struct engine_parameters {
    /// Requests that one server runs concurrently.
    std::uint32_t slots = 1;
    /// Capacity of the KV cache of one server, in tokens.
    std::int64_t kv_capacity_tokens = 0;
    /// Tokens in one event of a stream.
    std::uint32_t tokens_per_event = 1;
    /// Size of the KV cache entry of one token; 0 if servers do not transfer KV cache entries to each other.
    std::int64_t kv_bytes_per_token = 0;
    /// Network bandwidth of one server, in bytes per millisecond; 0 if unknown.
    double link_bytes_per_ms = 0;

    /// @return true if a server can fetch the KV cache of a prompt prefix from another server instead of
    /// computing it in a prefill.
    [[nodiscard]] bool supports_kv_transfer() const noexcept {
        return kv_bytes_per_token > 0 && link_bytes_per_ms > 0;
    }

    bool operator==(const engine_parameters&) const = default;
};

/// Limits on the number of servers of a service, and their prices.
struct scaling_parameters {
    std::uint32_t min_servers_per_zone = 0;
    std::uint32_t max_servers_per_zone = 0;
    /// Time from the request for a server until it accepts traffic.
    base::duration boot_time{};
    /// Price of a reclaimable server divided by that of a reserved one; absent if the platform offers no
    /// reclaimable servers.
    std::optional<double> reclaimable_price_ratio;
    /// Price of a reserved server per second, by zone.
    std::map<base::zone_id, double> zone_prices;

    bool operator==(const scaling_parameters&) const = default;
};

/// What the servers of a service take while they are cold.
struct warmup {
    /// Longest time for which a server is cold after its start.
    base::duration duration{};
    /// Requests per second that a cold server takes.
    double requests_per_s = 0;

    bool operator==(const warmup&) const = default;
};

/// Group of backend servers that requests are routed to.
struct service {
    base::service_id id;
    /// Path of the health check of its servers.
    std::string health_path;
    /// Connections that one server accepts in total; 0 if unknown.
    std::uint32_t max_connections = 0;
    /// Present if the servers run an inference engine.
    std::optional<engine_parameters> engine;
    /// Present if the service is scaled automatically.
    std::optional<scaling_parameters> scaling;
    /// Present if the servers take fewer requests for a while after their start.
    std::optional<catalog::warmup> warmup;

    bool operator==(const service&) const = default;
};

}  // namespace chicorygap::catalog
