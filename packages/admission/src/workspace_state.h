/// @file
/// State of one workspace.
#pragma once

#include "admission/policy.h"
#include "token_bucket.h"

#include <algorithm>
#include <optional>

namespace chicorygap::admission {

/// Limits and running requests of one workspace.
struct workspace_state {
    void set_limits(base::time_point now) {
        const auto part = [&](const std::optional<double>& v) {
            return v ? std::optional{*v * share} : std::nullopt;
        };
        requests.set_rate(part(rules.limits.requests_per_s), now);
        tokens.set_rate(part(rules.limits.tokens_per_s), now);
    }

    /// @return requests that may run at once here. A daemon with any share may run one: a limit smaller
    /// than the number of daemons would otherwise be rounded down to nothing everywhere.
    [[nodiscard]] std::optional<int> concurrency() const {
        if (!rules.limits.concurrency) {
            return std::nullopt;
        }
        const int part = static_cast<int>(*rules.limits.concurrency * share + 1e-9);
        return share > 0 ? std::max(part, 1) : 0;
    }

    [[nodiscard]] bool at_limit() const {
        const auto limit = concurrency();
        return limit && running >= *limit;
    }

    workspace_policy rules;
    double share = 1;
    token_bucket requests;
    token_bucket tokens;
    int running = 0;
};

}  // namespace chicorygap::admission
