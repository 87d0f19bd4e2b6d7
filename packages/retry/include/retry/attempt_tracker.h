/// @file
/// The attempts of one request.
#pragma once

#include "base/result_code.h"
#include "base/run_state.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace chicorygap::retry {

class budget;

/// Limits on the attempts of a request.
struct retry_policy {
    base::time_point deadline = base::time_point::max();
    /// The request may be executed more than once.
    bool idempotent = true;
    /// The response is a token stream that another server can resume at a given position.
    bool resumable = false;
    /// Maximum number of attempts that a server may have run, including the first attempt and hedges.
    std::uint32_t max_attempts = 3;
    /// Time after the start of an attempt without output at which a hedge may start; no value disables
    /// hedging.
    std::optional<base::duration> hedge_delay{};
    /// Time that must remain until the deadline for another attempt to start.
    base::duration min_attempt_time{};
};

/// Result of an attempt as reported by the backend adapter.
struct attempt_outcome {
    base::result_code code = base::result_code::ok;
    /// At least one byte of the request was written to the connection.
    bool sent = true;
};

/// Decision whether another attempt may start.
struct attempt_decision {
    bool allowed = false;
    /// Reason why no attempt may start; `ok` if allowed.
    base::result_code reason = base::result_code::ok;
    /// Number of tokens that the caller has received; the next attempt resumes the stream after them.
    std::uint64_t resume_tokens = 0;
};

/// Tracks the attempts of one request and decides whether another attempt may start.
///
/// A non-idempotent request gets no further attempt once a server may have run it, that is, once a byte of it
/// may have been sent and the server did not report that it refused the request. The run state is `not_run`
/// only if no attempt can have been executed. An attempt in flight counts as unknown, because its adapter may
/// be sending the request at that time.
///
/// Usage:
/// @code
/// attempt_tracker tracker{{.deadline = deadline, .idempotent = true, .resumable = true}};
/// const auto n = tracker.start(now);
/// tracker.finish(n, {base::result_code::connect_failed, false});
/// if (const auto d = tracker.try_next_attempt(budget, now); d.allowed) {
///     tracker.start(now);
/// } else {
///     reject(d.reason, tracker.run_state());
/// }
/// @endcode
class attempt_tracker {
public:
    /// Maximum number of attempts beyond `retry_policy::max_attempts`, for attempts that no server ran, for
    /// example because several servers crashed together or are full.
    static constexpr std::uint32_t max_not_run_attempts = 5;

    explicit attempt_tracker(retry_policy p);

    /// Records the start of an attempt. Each attempt except the first must be allowed by `try_next_attempt`
    /// or `try_hedge`.
    /// @return number of the attempt, starting at 1.
    /// @throws base::error with `internal` if the request is not idempotent and a server may have run it.
    std::uint32_t start(base::time_point now);

    /// Records output of an attempt. The output of the first attempt that produces any is delivered to the
    /// caller.
    /// @param attempt number of the attempt.
    /// @param tokens number of tokens that arrived.
    /// @return true if the output is delivered to the caller; false if it must be discarded and the attempt
    /// cancelled, usually because another attempt produced output first.
    bool record_output(std::uint32_t attempt, std::uint64_t tokens);

    /// Records the end of an attempt.
    /// @param attempt number of the attempt.
    /// @return false if the attempt cannot deliver output to the caller or has already ended; its outcome
    /// does not affect the request in that case.
    bool finish(std::uint32_t attempt, attempt_outcome o);

    /// Decides whether another attempt may start after all previous attempts failed. If so, it is charged to
    /// the budget, except for the first attempt and after an attempt that sent nothing.
    [[nodiscard]] attempt_decision try_next_attempt(budget& b, base::time_point now) const;

    /// Decides whether a second attempt may start in parallel to the one in flight. If so, it is charged to
    /// the budget.
    [[nodiscard]] attempt_decision try_hedge(budget& b, base::time_point now) const;

    /// @return earliest time at which `try_hedge` may allow a hedge, or nothing if no hedge can start.
    [[nodiscard]] std::optional<base::time_point> hedge_time() const;

    /// @return numbers of the attempts in flight whose output cannot be delivered to the caller; the caller
    /// of this function should cancel them.
    [[nodiscard]] std::vector<std::uint32_t> redundant_attempts() const;

    /// @return combined run state of all attempts.
    [[nodiscard]] base::run_state run_state() const;

    /// @return number of tokens that were delivered to the caller.
    [[nodiscard]] std::uint64_t delivered_tokens() const noexcept { return delivered_tokens_; }

    [[nodiscard]] std::uint32_t attempts() const noexcept {
        return static_cast<std::uint32_t>(attempts_.size());
    }
    [[nodiscard]] std::uint32_t in_flight() const;
    /// @return true if the caller has received the complete response.
    [[nodiscard]] bool succeeded() const noexcept { return succeeded_; }

private:
    struct attempt {
        base::time_point started;
        std::uint64_t resume_position = 0;
        bool in_flight = true;
        std::uint64_t tokens = 0;
        attempt_outcome outcome{};
    };

    [[nodiscard]] static base::run_state run_state_of(const attempt& a);
    [[nodiscard]] attempt* find_in_flight(std::uint32_t number);
    [[nodiscard]] bool can_deliver(std::uint32_t number) const;
    [[nodiscard]] base::result_code check_limits(base::time_point now) const;
    [[nodiscard]] base::result_code check_next_attempt(base::time_point now) const;
    [[nodiscard]] bool may_have_run() const;
    [[nodiscard]] std::uint32_t possibly_run_attempts() const;
    [[nodiscard]] bool last_attempt_unsent() const;

    retry_policy policy_;
    std::vector<attempt> attempts_;
    std::uint32_t delivering_attempt_ = 0;  // attempt whose output is delivered to the caller, 0 if none
    std::uint64_t delivered_tokens_ = 0;
    bool succeeded_ = false;
    attempt_outcome last_outcome_;  // of the last attempt that could deliver output to the caller
};

}  // namespace chicorygap::retry
