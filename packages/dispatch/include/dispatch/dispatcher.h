/// @file
/// Dispatcher of one service in one daemon.
#pragma once

#include "admission/status.h"
#include "base/random.h"
#include "dispatch/action.h"
#include "dispatch/event.h"
#include "retry/budget.h"
#include "routing/types.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace chicorygap::dispatch {

/// Settings of a dispatcher.
struct options {
    routing::options routing;
    admission::policy policy;
    retry::budget_options budget;
    /// Maximum number of attempts of a request that a server may have run, including the first attempt.
    std::uint32_t max_attempts = 3;
};

/// Counters since the dispatcher was created.
struct counters {
    std::uint64_t submitted = 0;
    std::uint64_t completed = 0;
    std::uint64_t rejected = 0;
    std::uint64_t retried = 0;
    std::uint64_t preempted = 0;
    /// Tokens that callers have received.
    std::uint64_t delivered_tokens = 0;
    /// Tokens that callers have received from requests that did not complete.
    std::uint64_t wasted_tokens = 0;
};

/// State of a dispatcher, for operators, metrics and peers.
struct status {
    admission::status admission;
    std::vector<routing::server_status> servers;
    counters totals;
};

/// State machine that combines admission, routing and retry of one service.
///
/// Every submitted request ends with exactly one `reject` or `complete`, unless it ends with the code
/// `caller_gone`. In that case the caller has disconnected and no action is returned.
///
/// Usage:
/// @code
/// dispatcher d{o, random};
/// for (const action& a : d.handle(submit_request{...}, now)) { ... }
/// // when the attempt has ended: d.handle(attempt_result{request, attempt, code}, now)
/// @endcode
/// Not thread-safe; the caller must serialize calls.
class dispatcher {
public:
    /// @param o settings.
    /// @param random random number source for server selection.
    dispatcher(options o, base::random_function random);
    ~dispatcher();
    dispatcher(dispatcher&&) noexcept;
    dispatcher& operator=(dispatcher&&) noexcept;
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    /// Applies one event. Events for unknown requests or for attempts that are not in flight are ignored.
    /// @param e input event.
    /// @param now current time, not before the time of the previous call.
    /// @return decisions, in the order in which they must be carried out.
    std::vector<action> handle(const event& e, base::time_point now);

    /// @return current state and counters.
    [[nodiscard]] status snapshot(base::time_point now) const;

    /// Returns the load digest that this daemon sends to its peers.
    /// @param limit maximum number of entries.
    /// @return this daemon's requests in flight by backend server, busiest servers first.
    [[nodiscard]] std::vector<routing::server_in_flight> load_digest(std::size_t limit) const;

    /// @return number of requests that have neither completed nor been rejected.
    [[nodiscard]] std::size_t open_requests() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

}  // namespace chicorygap::dispatch
