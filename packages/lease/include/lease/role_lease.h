/// @file
/// Lease of a role that at most one daemon holds at a time.
#pragma once

#include "base/store_message.h"
#include "base/time.h"
#include "lease/conditional_write.h"
#include "lease/lease_record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chicorygap::lease {

/// Parameters of a lease. Section 3.2 of the design explains the defaults.
struct lease_options {
    std::string role;
    std::string holder;             ///< identifies this daemon
    std::uint64_t incarnation = 0;  ///< differs for every start of the daemon
    base::duration renew_interval = std::chrono::seconds{3};
    base::duration lease_duration = std::chrono::seconds{9};
    /// The holder stops acting this long before its lease expires. Must be at least the longest time for
    /// which an order is in flight.
    base::duration in_flight_margin = std::chrono::seconds{2};
    /// Time that a candidate waits beyond the lease duration before it takes over.
    base::duration takeover_margin = std::chrono::seconds{3};
    base::duration poll_interval = std::chrono::seconds{1};
};

/// Event: time has passed.
struct tick {};
/// Event: a watch or list call returned the lease object.
struct object_observed {
    base::stored_object object;
};
/// Event: this daemon becomes a candidate for the role or stops being one.
struct candidacy_changed {
    bool candidate = false;
};
/// Event: a response of the store told a new era.
struct era_changed {
    std::uint64_t era = 0;
    bool restored = false;  ///< the store has returned from a copy; false if no era was known before
};
/// Event: another daemon was seen to hold the role.
struct term_observed {
    std::uint64_t term = 0;
};
/// Event: release the lease, so that another daemon can acquire it at once. No order may be in flight.
struct release_requested {};

using lease_event = std::variant<tick, base::store_reply, object_observed, candidacy_changed, era_changed,
                                 term_observed, release_requested>;

/// Action: this daemon has acquired the role.
struct acquired {
    std::uint64_t term = 0;
};
/// Action: this daemon has lost the role, or its lease has expired.
struct lost {
    std::uint64_t term = 0;
};
/// Action: this daemon no longer holds the lease and may terminate.
struct released {};

using lease_action = std::variant<base::store_put, base::store_get, acquired, lost, released>;

/// State machine that acquires, renews and releases the lease of one role.
///
/// The object `lease/<role>` changes only by conditional updates. The holder measures the lease with its own
/// clock, from the time at which it *sent* the last successful renewal. A candidate takes over after it has
/// *observed* the same version for longer than that, by its own clock. The clocks of two VMs are never
/// compared.
///
/// The store may return from a copy that lacks the last changes of the object. Its era, which rises with each
/// return, is the upper part of the term, and the version that the acquisition replaces the lower one, so
/// that no term is given out twice. The daemon that holds the lease at that time acquires it anew at once;
/// all others wait until that lease has certainly ended.
///
/// Usage: pass every event to `handle` and execute the returned actions. Call `may_act` after connecting to
/// the receiver of an order and again immediately before writing to it; send nothing if it returns false.
class role_lease {
public:
    explicit role_lease(lease_options o);

    /// @param now monotonic time of this VM.
    /// @return the actions to execute, in order.
    std::vector<lease_action> handle(const lease_event& e, base::time_point now);

    /// @return true if this daemon may act in the role at `now`.
    [[nodiscard]] bool may_act(base::time_point now) const noexcept;

    /// @param term term in which an order was created.
    /// @return true if this daemon may act and still holds the role in that term. An order from an earlier
    /// term of the same daemon must not be sent, because another daemon may have held the role since then.
    [[nodiscard]] bool may_act(std::uint64_t term, base::time_point now) const noexcept {
        return term == term_ && may_act(now);
    }

    /// @return the fencing token of the current or latest lease of this daemon; 0 before the first.
    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }

    /// @return true between `acquired` and `lost` or `released`.
    [[nodiscard]] bool held() const noexcept { return held_; }

    /// @return the last known content of the lease object, which names the holder, if the content is valid.
    [[nodiscard]] const std::optional<lease_record>& observed() const noexcept { return observed_; }

private:
    enum class write_kind { acquire, renew, release };

    void on(const tick& e, base::time_point now);
    void on(const base::store_reply& e, base::time_point now);
    void on(const object_observed& e, base::time_point now);
    void on(const candidacy_changed& e, base::time_point now);
    void on(const era_changed& e, base::time_point now);
    void on(const term_observed& e, base::time_point now);
    void on(const release_requested& e, base::time_point now);

    void advance(base::time_point now);
    void check_expiry(base::time_point now);
    void try_acquire(base::time_point now);
    void poll(base::time_point now);
    void start_write(write_kind kind, std::uint64_t term, base::time_point now);
    void handle_write_result(const write_result& r, base::time_point now);
    void observe(const std::optional<base::stored_object>& object, base::time_point now);
    void lose_role();
    [[nodiscard]] bool takeover_due(base::time_point now) const;
    /// @return true while a holder that the store has forgotten may still act.
    [[nodiscard]] bool forgotten_holder_may_act(base::time_point now) const;
    /// @return a term above all that were given out.
    [[nodiscard]] std::uint64_t next_term() const;
    [[nodiscard]] bool is_own_record() const;
    [[nodiscard]] std::string key() const { return "lease/" + options_.role; }

    lease_options options_;
    conditional_write write_;
    lease_record written_record_;
    write_kind pending_write_kind_ = write_kind::acquire;
    std::vector<lease_action> actions_;

    bool candidate_ = true;
    bool held_ = false;
    bool releasing_ = false;
    std::uint64_t term_ = 0;
    base::time_point act_until_;
    base::time_point renew_at_;

    /// Whether the presence and the version of the object are known.
    bool object_known_ = false;
    std::optional<lease_record> observed_;
    std::uint64_t version_ = 0;
    base::time_point observed_since_;
    std::optional<std::uint64_t> get_in_flight_;
    base::time_point poll_at_;

    std::uint64_t next_correlation_ = 1;

    std::uint64_t era_ = 0;
    base::time_point era_known_since_;
    /// End of the lease that this daemon held when the store returned from a copy.
    base::time_point held_in_last_era_until_;
    std::uint64_t highest_observed_term_ = 0;
};

}  // namespace chicorygap::lease
