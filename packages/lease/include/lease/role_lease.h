/// @file
/// Lease on a role, held by at most one daemon at a time.
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

/// Names and times of a lease. The defaults are those of the design, section 3.2.
struct lease_options {
    std::string role;
    std::string holder;             ///< name of this daemon
    std::uint64_t incarnation = 0;  ///< differs for every start of the daemon
    base::duration renew_interval = std::chrono::seconds{3};
    base::duration lease_duration = std::chrono::seconds{9};
    /// Longest time an order is in flight; the holder stops acting this long before the lease ends.
    base::duration in_flight_margin = std::chrono::seconds{2};
    /// Added to the length found in the record before a candidate takes over.
    base::duration takeover_margin = std::chrono::seconds{3};
    base::duration poll_interval = std::chrono::seconds{1};
};

/// Event: time has passed.
struct tick {};
/// Event: a watch or a list delivered the lease object.
struct object_observed {
    base::stored_object object;
};
/// Event: whether this daemon should compete for the role.
struct candidacy_changed {
    bool candidate = false;
};
/// Event: hand the role over. No order may be in flight when it is sent.
struct release_requested {};

using lease_event =
    std::variant<tick, base::store_reply, object_observed, candidacy_changed, release_requested>;

/// Action: the role has been acquired.
struct acquired {
    std::uint64_t term = 0;
};
/// Action: the role has been lost or its lease has expired.
struct lost {
    std::uint64_t term = 0;
};
/// Action: the hand-over has finished; the daemon may terminate.
struct released {};

using lease_action = std::variant<base::store_put, base::store_get, acquired, lost, released>;

/// State machine that acquires, renews, loses and hands over the lease of one role.
///
/// Concept: the object `lease/<role>` changes only by conditional update. The holder stops by its own clock,
/// counted from when its last successful renewal was *sent*; a candidate starts after it has *seen* the same
/// version for longer than that. The clocks of two VMs are never compared.
///
/// Usage: pass every event to `handle` and execute the actions. Call `may_act` after connecting to the
/// receiver of an order and again right before writing to it; send nothing when it is false.
class role_lease {
public:
    explicit role_lease(lease_options o);

    /// @param e event.
    /// @param now time of this VM.
    /// @return actions to execute in this order.
    std::vector<lease_action> handle(const lease_event& e, base::time_point now);

    /// @return true if this daemon may act in the role at `now`.
    [[nodiscard]] bool may_act(base::time_point now) const noexcept;

    /// @param term term under which the order was decided.
    /// @return true if this daemon may act and its lease still has that term. An order that was decided under
    /// an earlier lease of the same daemon must not be sent: another daemon may have held the role in
    /// between.
    [[nodiscard]] bool may_act(std::uint64_t term, base::time_point now) const noexcept {
        return term == term_ && may_act(now);
    }

    /// @return the fencing token of the current or last own lease, 0 before the first.
    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }

    /// @return true between `acquired` and `lost` or `released`.
    [[nodiscard]] bool held() const noexcept { return held_; }

    /// @return the last known content of the lease object, which tells who holds the role.
    [[nodiscard]] const std::optional<lease_record>& observed() const noexcept { return observed_; }

private:
    enum class write_kind { acquire, renew, release };

    void on(const tick& e, base::time_point now);
    void on(const base::store_reply& e, base::time_point now);
    void on(const object_observed& e, base::time_point now);
    void on(const candidacy_changed& e, base::time_point now);
    void on(const release_requested& e, base::time_point now);

    void advance(base::time_point now);
    void expire(base::time_point now);
    void compete(base::time_point now);
    void poll(base::time_point now);
    void write(write_kind kind, std::uint64_t term, base::time_point now);
    void written(const write_result& r, base::time_point now);
    void observe(const std::optional<base::stored_object>& object, base::time_point now);
    void drop_role();
    [[nodiscard]] bool takeover_due(base::time_point now) const;
    [[nodiscard]] bool own_record() const;
    [[nodiscard]] std::string key() const { return "lease/" + options_.role; }

    lease_options options_;
    conditional_write write_;
    lease_record written_;
    write_kind kind_ = write_kind::acquire;
    std::vector<lease_action> actions_;

    bool candidate_ = true;
    bool held_ = false;
    bool releasing_ = false;
    std::uint64_t term_ = 0;
    base::time_point act_until_;
    base::time_point renew_at_;

    bool known_ = false;  ///< whether the object's presence and version have been observed
    std::optional<lease_record> observed_;
    std::uint64_t version_ = 0;
    base::time_point observed_since_;
    std::optional<std::uint64_t> get_in_flight_;
    base::time_point poll_at_;

    std::uint64_t next_correlation_ = 1;
};

}  // namespace chicorygap::lease
