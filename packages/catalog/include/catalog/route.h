/// @file
/// Route from a host and path to services.
#pragma once

#include "base/id.h"
#include "base/tier.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::catalog {

/// What may be repeated, and what an answer looks like.
enum class request_kind {
    idempotent,      ///< may run more than once
    non_idempotent,  ///< may run once at most
    streaming,       ///< a series of events; may run once at most unless the route is resumable
};

/// Part of a route's requests that goes to one service.
struct weighted_service {
    base::service_id service;
    std::uint32_t weight = 0;

    bool operator==(const weighted_service&) const = default;
};

/// Terms under which requests of one route are served.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix;
    request_kind kind = request_kind::non_idempotent;
    /// Longest time until the final answer.
    base::duration timeout{};
    /// Time within which the answer, or its first event, is on time.
    base::duration target_latency{};
    /// Longest pause between events that is on time; absent for other kinds.
    std::optional<base::duration> target_gap;
    base::tier tier;
    /// Services and their weights, at least one.
    std::vector<weighted_service> services;
    /// Servers that one request may run on.
    std::uint32_t max_attempts = 1;
    /// Callers need no key.
    bool anonymous = false;
    /// Another server can continue a stream behind its last event.
    bool resumable = false;

    /// @return true if a request may run again after a failure that leaves its outcome unknown.
    [[nodiscard]] bool repeatable() const noexcept {
        return kind == request_kind::idempotent || (kind == request_kind::streaming && resumable);
    }

    bool operator==(const route&) const = default;
};

}  // namespace chicorygap::catalog
