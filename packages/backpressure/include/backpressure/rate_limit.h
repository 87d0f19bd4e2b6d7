/// @file
/// Rate limit of one server.
#pragma once

#include "backpressure/signal_report.h"
#include "base/time.h"

#include <cstdint>

namespace chicorygap::backpressure {

/// What is known of the rate limit of one server.
///
/// Concept: a response that names a limit is a statement of the time of its receipt. A response without a
/// limit is one of the time at which its request was sent, since the server may have sent it before it named
/// the limit. A response without a limit raises the limit by a factor; several of them in a row remove it.
///
/// Usage:
/// @code
/// l.named(2.5, id, now);
/// l.not_named(request_sent_at, id, now);
/// if (l.active()) { spend(l.rate()); }
/// @endcode
class rate_limit {
public:
    /// Records a response that names a limit.
    /// @param rate requests per second, at least 0.
    /// @param statement id of the new statement.
    /// @return true if the limit has changed noticeably.
    bool named(double rate, std::uint32_t statement, base::time_point now);

    /// Records a response that names no limit.
    /// @param sent_at time at which the request was sent.
    /// @param statement id of the new statement.
    /// @return true if the limit has changed noticeably.
    bool not_named(base::time_point sent_at, std::uint32_t statement);

    /// Adds what a peer knows.
    /// @return true if the limit has changed noticeably.
    bool merge(const limit_record& r, base::time_point now);

    /// @return true if the server has named a limit.
    [[nodiscard]] bool known() const noexcept { return statement_ != 0; }
    /// @return false if the server names no limit any more, or never did.
    [[nodiscard]] bool active() const noexcept;
    /// @return requests per second that all daemons together may send; meaningful while the limit is active.
    [[nodiscard]] double rate() const noexcept;
    /// @return the limit as the server last named it, in requests per second.
    [[nodiscard]] double named_rate() const noexcept { return rate_; }
    /// @return time since the last statement.
    [[nodiscard]] base::duration age(base::time_point now) const { return now - stated_at_; }

    /// @param server key for the record.
    [[nodiscard]] limit_record record(server_key server, base::time_point now) const;

private:
    bool replace(double rate, std::uint32_t raises, std::uint32_t statement, base::time_point stated_at);

    double rate_ = 0;
    std::uint32_t raises_ = 0;
    std::uint32_t statement_ = 0;  ///< 0 before the first statement
    base::time_point stated_at_;
};

}  // namespace chicorygap::backpressure
