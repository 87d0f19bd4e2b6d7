/// @file
/// Tickets for zones that are cut off from the platform (design 3.4, option b).
#pragma once

#include "base/id.h"
#include "base/random.h"
#include "base/time.h"
#include "idempotency/decision.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chicorygap::idempotency {

/// Names the only daemon incarnation that may run one request.
struct ticket {
    std::string daemon;
    std::uint64_t incarnation = 0;
    std::uint64_t serial = 0;
    std::uint64_t nonce = 0;  ///< keeps another caller from guessing the ticket

    bool operator==(const ticket&) const = default;

    /// @return "daemon.incarnation.serial.nonce", the form that the caller sends back.
    [[nodiscard]] std::string str() const;

    /// @return the ticket, or nothing if `text` does not have that form.
    static std::optional<ticket> parse(std::string_view text);
};

/// Limits of a ticket book.
struct ticket_options {
    std::string daemon;
    std::uint64_t incarnation = 0;  ///< differs for every start of the daemon
    base::duration lifetime = std::chrono::hours{1};
    std::size_t max_tickets = 20'000;
    std::size_t max_outcome_bytes = 1024;
};

/// Tickets issued by this daemon incarnation.
///
/// Concept: at most one execution needs no write because only this process can redeem the ticket, and it
/// remembers it for its lifetime. After this incarnation's death, or the end of the lifetime, the answer is
/// `unknown`.
///
/// Usage: `issue` on the caller's first request, `redeem` on the second one, which carries the ticket;
/// another daemon forwards it to `ticket::daemon`. When that one cannot be reached the answer is `unknown`.
class ticket_book {
public:
    ticket_book(ticket_options o, base::random_function random);

    /// @return a ticket that only `workspace` can redeem, or nothing if too many are open.
    std::optional<ticket> issue(const base::workspace_id& workspace, base::time_point now);

    /// @param body digest of the request's body.
    /// @return `granted` at most once per ticket; otherwise `known`, `unknown` or `reused`. `refused` if the
    /// ticket belongs to another workspace.
    decision redeem(const ticket& t, const base::workspace_id& workspace, const digest& body,
                    base::time_point now);

    /// Records the outcome of a granted ticket.
    void finish(const ticket& t, outcome result);

    [[nodiscard]] std::size_t size() const noexcept { return issued_.size(); }

private:
    struct entry {
        base::workspace_id workspace;
        std::uint64_t nonce = 0;
        base::time_point expires;
        std::optional<digest> body;  ///< set once granted
        std::optional<outcome> result;
    };

    void expire(base::time_point now);
    entry* find(const ticket& t);

    ticket_options options_;
    base::random_function random_;
    std::map<std::uint64_t, entry> issued_;  ///< by serial, which is also the order of expiry
    std::uint64_t next_serial_ = 1;
};

}  // namespace chicorygap::idempotency
