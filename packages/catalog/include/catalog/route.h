/// @file
/// Routes from a host and path to services.
#pragma once

#include "base/id.h"
#include "base/tier.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::catalog {

/// Retry semantics and response type of the requests of a route.
enum class request_kind {
    idempotent,      ///< may be executed more than once
    non_idempotent,  ///< must be executed at most once
    streaming,       ///< response is an event stream; executed at most once unless the route is resumable
};

/// Service with its weight in the traffic split of a route.
struct weighted_service {
    base::service_id service;
    std::uint32_t weight = 0;

    bool operator==(const weighted_service&) const = default;
};

/// Destination and limits of the requests to one host and path prefix.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix;
    request_kind kind = request_kind::non_idempotent;
    /// Maximum time until the response is complete.
    base::duration timeout{};
    /// Latency target for the response, or for its first event.
    base::duration target_latency{};
    /// Target for the token gap, the time between two events of a stream; absent for other kinds.
    std::optional<base::duration> target_gap;
    base::tier tier;
    /// Traffic split; contains at least one service.
    std::vector<weighted_service> services;
    /// Maximum number of servers that one request is sent to.
    std::uint32_t max_attempts = 1;
    /// Requests need no API key.
    bool anonymous = false;
    /// Another server can resume a stream after its last event.
    bool resumable = false;

    /// @return true if a request may be retried after a failure with an unknown outcome.
    [[nodiscard]] bool repeatable() const noexcept {
        return kind == request_kind::idempotent || (kind == request_kind::streaming && resumable);
    }

    bool operator==(const route&) const = default;
};

}  // namespace chicorygap::catalog
