/// @file
/// Decision core of one service in one daemon.
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

/// Settings of a core.
struct options {
    routing::options routing;
    admission::policy policy;
    retry::budget_options budget;
    /// Attempts per request, including the first.
    std::uint32_t max_attempts = 3;
};

/// Counters since the start of the core.
struct counters {
    std::uint64_t submitted = 0;
    std::uint64_t completed = 0;
    std::uint64_t rejected = 0;
    std::uint64_t retried = 0;
    std::uint64_t preempted = 0;
    std::uint64_t delivered_tokens = 0;
    /// Tokens of requests that did not complete.
    std::uint64_t wasted_tokens = 0;
};

/// What the core knows, for operators, metrics and gossip.
struct status {
    admission::status admission;
    std::vector<routing::server_status> servers;
    counters totals;
};

/// Joins admission, routing and retry of one service into one state machine.
///
/// Every submitted request ends with exactly one `reject` or `complete`, unless `cancel_request` names
/// `caller_gone`: then nobody is left to be told and the request ends silently.
///
/// Usage:
/// @code
/// dispatcher c{o, random};
/// for (const action& a : c.handle(submit_request{...}, now)) { ... }
/// // after the attempt: c.handle(attempt_result{request, attempt, code}, now)
/// @endcode
/// Not thread-safe; the adapter serialises calls.
class dispatcher {
public:
    /// @param o settings.
    /// @param random source of randomness for routing.
    dispatcher(options o, base::random_function random);
    ~dispatcher();
    dispatcher(dispatcher&&) noexcept;
    dispatcher& operator=(dispatcher&&) noexcept;
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    /// @param e input event.
    /// @param now current time; must not go backwards.
    /// @return decisions in the order in which they are to be carried out.
    std::vector<action> handle(const event& e, base::time_point now);

    [[nodiscard]] status snapshot(base::time_point now) const;

    /// @param limit largest number of entries.
    /// @return own requests in flight per backend server, for peers.
    [[nodiscard]] std::vector<routing::server_in_flight> load_digest(std::size_t limit) const;

    /// @return requests that have neither completed nor been rejected.
    [[nodiscard]] std::size_t open_requests() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

}  // namespace chicorygap::dispatch
