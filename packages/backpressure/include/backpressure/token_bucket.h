/// @file
/// Token bucket.
#pragma once

#include "base/time.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace chicorygap::backpressure {

/// Token bucket whose rate may change. Starts empty.
///
/// Usage: `b.set_rate(2, 1.5, now); if (b.available(now)) { b.take(now); }`
class token_bucket {
public:
    /// @param per_second tokens that are added in a second.
    /// @param capacity most tokens that are kept.
    void set_rate(double per_second, double capacity, base::time_point now) {
        refill(now);
        per_second_ = per_second;
        capacity_ = capacity;
        tokens_ = std::min(tokens_, capacity_);
    }

    void fill(base::time_point now) {
        refill(now);
        tokens_ = capacity_;
    }

    void clear(base::time_point now) {
        refill(now);
        tokens_ = 0;
    }

    [[nodiscard]] double per_second() const noexcept { return per_second_; }

    /// @return true if a whole token is there.
    [[nodiscard]] bool available(base::time_point now) const { return tokens(now) >= 1; }

    /// Takes one token, even if none is available; the next ones are then due later.
    void take(base::time_point now) {
        refill(now);
        tokens_ -= 1;
    }

    /// @return time until a token is available; nothing if the rate is 0.
    [[nodiscard]] std::optional<base::duration> time_until_available(base::time_point now) const {
        const double missing = 1 - tokens(now);
        if (missing <= 0) {
            return base::duration{};
        }
        if (per_second_ <= 0) {
            return std::nullopt;
        }
        return std::chrono::duration_cast<base::duration>(
            std::chrono::duration<double>{missing / per_second_});
    }

private:
    [[nodiscard]] double tokens(base::time_point now) const {
        const std::chrono::duration<double> elapsed = std::max(base::duration{}, now - updated_at_);
        return std::min(capacity_, tokens_ + per_second_ * elapsed.count());
    }

    void refill(base::time_point now) {
        tokens_ = tokens(now);
        updated_at_ = std::max(updated_at_, now);
    }

    double per_second_ = 0;
    double capacity_ = 1;
    double tokens_ = 0;
    base::time_point updated_at_;
};

}  // namespace chicorygap::backpressure
