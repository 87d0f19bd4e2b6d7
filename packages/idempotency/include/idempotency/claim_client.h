/// @file
/// Daemon's side of a claim.
#pragma once

#include "base/result_code.h"
#include "base/run_state.h"
#include "base/time.h"
#include "idempotency/decision.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace chicorygap::idempotency {

/// Limits of a daemon's claims.
struct client_options {
    base::duration claim_timeout = std::chrono::seconds{2};
    base::duration outcome_retry = std::chrono::seconds{1};
    std::size_t max_open = 5'000;      ///< claims without a decision
    std::size_t max_outcomes = 5'000;  ///< outcomes not yet accepted by an owner
    int outcome_attempts = 60;         ///< after these the record stays `unknown`
};

/// Event: the owner of a shard is known to be `daemon`, or nobody if empty.
struct owner_changed {
    std::uint32_t shard = 0;
    std::string daemon;
};
/// Event: a caller's non-idempotent request needs a permit. `number` is unique in this daemon.
struct permit_wanted {
    claim request;
};
/// Event: an owner's answer to `send_claim`.
struct claim_decided {
    decision answer;
};
/// Event: `send_claim` failed or received no reply.
struct claim_lost {
    std::uint64_t claim_number = 0;
};
/// Event: a permitted request has ended with an outcome that may be repeated to the caller.
struct request_finished {
    digest id;
    outcome result;
};
/// Event: the owner has accepted an outcome.
struct outcome_accepted {
    digest id;
};
/// Event: time has passed.
struct client_tick {};

using client_event = std::variant<client_tick, owner_changed, permit_wanted, claim_decided, claim_lost,
                                  request_finished, outcome_accepted>;

/// Action: send the claim to the daemon that owns the shard.
struct send_claim {
    std::string daemon;
    claim request;
};
/// Action: run the request; given at most once per `permit_wanted`.
struct permit {
    std::uint64_t claim_number = 0;
};
/// Action: answer the caller with the recorded outcome.
struct repeat_outcome {
    std::uint64_t claim_number = 0;
    outcome result;
};
/// Action: refuse the request with a truthful run state.
struct refuse {
    std::uint64_t claim_number = 0;
    base::result_code code = base::result_code::record_unavailable;
    base::run_state state = base::run_state::not_run;
};
/// Action: send the outcome to the daemon that owns the shard.
struct send_outcome {
    std::string daemon;
    digest id;
    outcome result;
};

using client_action = std::variant<send_claim, permit, repeat_outcome, refuse, send_outcome>;

/// State machine of a daemon that needs permits for its callers' non-idempotent requests.
///
/// Concept: a claim is sent once. If its decision does not arrive in time the request is refused as not run,
/// and a permit that arrives later is discarded, so that the refusal stays true.
///
/// Usage: one `permit_wanted` per request leads to exactly one of `permit`, `repeat_outcome` and `refuse`.
class claim_client {
public:
    explicit claim_client(client_options o = {}) : options_{o} {}

    /// @param e event.
    /// @param now time of this VM.
    /// @return actions to execute in this order.
    std::vector<client_action> handle(const client_event& e, base::time_point now);

    /// @return the daemon that owns the record's shard, or an empty string.
    [[nodiscard]] std::string owner_of(const digest& id) const;

private:
    struct open_claim {
        digest id;
        base::time_point give_up_at;
    };
    struct unsent_outcome {
        outcome result;
        base::time_point send_at;
        int attempts = 0;
    };

    void on(const client_tick& e, base::time_point now);
    void on(const owner_changed& e, base::time_point now);
    void on(const permit_wanted& e, base::time_point now);
    void on(const claim_decided& e, base::time_point now);
    void on(const claim_lost& e, base::time_point now);
    void on(const request_finished& e, base::time_point now);
    void on(const outcome_accepted& e, base::time_point now);

    void refuse_as_not_run(std::uint64_t claim_number);
    void send_outcomes(base::time_point now);
    void settle(const decision& d);

    client_options options_;
    std::map<std::uint32_t, std::string> owners_;
    std::unordered_map<std::uint64_t, open_claim> open_;
    std::unordered_map<digest, unsent_outcome> outcomes_;
    std::vector<client_action> actions_;
};

}  // namespace chicorygap::idempotency
