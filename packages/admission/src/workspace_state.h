/// @file
/// State of one workspace.
#pragma once

#include "admission/policy.h"
#include "token_bucket.h"

#include <algorithm>
#include <optional>

namespace chicorygap::admission {

/// Rate limits and running requests of one workspace on this daemon.
struct workspace_state {
    void update_rate_limits(base::time_point now) {
        const auto scaled = [&](const std::optional<double>& v) {
            return v ? std::optional{*v * limit_share} : std::nullopt;
        };
        request_limiter.set_rate(scaled(policy.limits.requests_per_s), now);
        token_limiter.set_rate(scaled(policy.limits.tokens_per_s), now);
    }

    /// @return maximum number of concurrent requests on this daemon. It is at least one if the daemon has any
    /// share: a limit smaller than the number of daemons would otherwise be rounded down to zero on each.
    [[nodiscard]] std::optional<int> concurrency_limit() const {
        if (!policy.limits.concurrency) {
            return std::nullopt;
        }
        const int scaled = static_cast<int>(*policy.limits.concurrency * limit_share + 1e-9);
        return limit_share > 0 ? std::max(scaled, 1) : 0;
    }

    [[nodiscard]] bool at_concurrency_limit() const {
        const auto limit = concurrency_limit();
        return limit && running >= *limit;
    }

    workspace_policy policy;
    double limit_share = 1;
    token_bucket request_limiter;
    token_bucket token_limiter;
    int running = 0;
};

}  // namespace chicorygap::admission
