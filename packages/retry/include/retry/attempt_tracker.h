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

/// What bounds the attempts of a request.
struct retry_policy {
    base::time_point deadline = base::time_point::max();
    bool idempotent = true;
    /// The response is a stream of tokens, which another server can continue from a position.
    bool resumable = false;
    /// Attempts that may have run, including the first one and hedges.
    std::uint32_t max_attempts = 3;
    /// Time without output after which a hedge may start; none disables hedging.
    std::optional<base::duration> hedge_delay{};
    /// Least time before the deadline in which another attempt is still useful.
    base::duration min_attempt_time{};
};

/// How an attempt ended, as the backend adapter saw it.
struct attempt_outcome {
    base::result_code code = base::result_code::ok;
    /// A byte of the request was handed to the connection.
    bool sent = true;
};

/// Answer to the question whether another attempt may start.
struct attempt_decision {
    bool allowed = false;
    /// Reason for a refusal; `ok` if allowed.
    base::result_code reason = base::result_code::ok;
    /// Tokens that the caller already has; the stream continues behind them.
    std::uint64_t resume_tokens = 0;
};

/// Run state of one request over its attempts; decides whether another attempt may start.
///
/// A non-idempotent request never gets a second attempt once a server may have run it: a byte of it may have
/// been sent and no server said that it did not run it. The run state
/// is `not_run` only if no attempt can have been executed; an attempt that is still in flight counts as
/// unknown, because its adapter may be sending at this moment.
///
/// Usage:
/// @code
/// attempt_tracker l{{.deadline = d, .idempotent = true, .resumable = true}};
/// const auto n = l.start(now);
/// l.finish(n, {base::result_code::connect_failed, false});
/// if (const auto a = l.try_next_attempt(b, now); a.allowed) { l.start(now); } else { refuse(a.reason,
/// l.run_state()); }
/// @endcode
class attempt_tracker {
public:
    /// Further attempts that may end without a run, for example on servers that crashed together or are full.
    static constexpr std::uint32_t max_not_run_attempts = 5;

    explicit attempt_tracker(retry_policy t);

    /// Records the start of an attempt. The first one needs no permission, later ones that of
    /// `try_next_attempt` or `try_hedge`.
    /// @return the attempt's number, from 1.
    /// @throws base::error with `internal` if the start would break the rule for non-idempotent requests.
    std::uint32_t start(base::time_point now);

    /// Records output of an attempt. The first attempt with output is the one whose output the caller
    /// receives.
    /// @param attempt its number.
    /// @param tokens number of tokens that arrived.
    /// @return false if the output must be discarded and the attempt cancelled, because another one was
    /// first.
    bool record_output(std::uint32_t attempt, std::uint64_t tokens);

    /// Records the end of an attempt.
    /// @return false if the report concerns an attempt whose output the caller does not receive, or that
    /// already ended; it decides nothing about the request then.
    bool finish(std::uint32_t attempt, attempt_outcome o);

    /// Whether another attempt may start after all previous ones failed. Takes it from the budget if so.
    [[nodiscard]] attempt_decision try_next_attempt(budget& b, base::time_point now) const;

    /// Whether a second attempt may start beside the running one. Takes it from the budget if so.
    [[nodiscard]] attempt_decision try_hedge(budget& b, base::time_point now) const;

    /// @return when `try_hedge` should be asked, or nothing if no hedge can start.
    [[nodiscard]] std::optional<base::time_point> hedge_time() const;

    /// @return attempts in flight other than the one that feeds the caller; to be cancelled once one is
    /// chosen.
    [[nodiscard]] std::vector<std::uint32_t> redundant_attempts() const;

    /// @return what is known about the execution of the whole request.
    [[nodiscard]] base::run_state run_state() const;

    /// @return tokens that the caller has received.
    [[nodiscard]] std::uint64_t delivered_tokens() const noexcept { return delivered_; }

    [[nodiscard]] std::uint32_t attempts() const noexcept {
        return static_cast<std::uint32_t>(attempts_.size());
    }
    [[nodiscard]] std::uint32_t in_flight() const;
    /// @return true once the caller has the complete response.
    [[nodiscard]] bool succeeded() const noexcept { return succeeded_; }

private:
    struct attempt {
        base::time_point started;
        std::uint64_t resume_at = 0;
        bool in_flight = true;
        std::uint64_t tokens = 0;
        attempt_outcome outcome{};
    };

    [[nodiscard]] static base::run_state state_of(const attempt& a);
    [[nodiscard]] attempt* running(std::uint32_t number);
    [[nodiscard]] bool can_feed(std::uint32_t number) const;
    [[nodiscard]] base::result_code obstacle(base::time_point now) const;
    [[nodiscard]] base::result_code refusal(base::time_point now) const;
    [[nodiscard]] bool may_have_run() const;
    [[nodiscard]] std::uint32_t run_attempts() const;
    [[nodiscard]] bool last_was_unsent() const;

    retry_policy terms_;
    std::vector<attempt> attempts_;
    std::uint32_t source_ = 0;  // the attempt that feeds the caller, 0 if none
    std::uint64_t delivered_ = 0;
    bool succeeded_ = false;
    attempt_outcome last_;  // end of the last attempt that could have fed the caller
};

}  // namespace chicorygap::retry
