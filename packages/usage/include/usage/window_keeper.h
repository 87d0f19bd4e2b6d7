/// @file
/// Usage windows of a zone, kept by its role holder.
#pragma once

#include "base/random.h"
#include "base/store_message.h"
#include "base/time.h"
#include "lease/conditional_write.h"
#include "usage/fold.h"
#include "usage/window_record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chicorygap::usage {

/// Names, times and limits of a zone's windows.
struct keeper_options {
    std::string zone;
    std::string holder;             ///< name of this daemon
    std::uint64_t incarnation = 0;  ///< differs for every start of the daemon
    base::duration window_length = std::chrono::minutes{1};
    /// Wait after a window's end, and after the role was acquired, for the daemons' last reports on it.
    base::duration grace = std::chrono::seconds{3};
    base::duration retry_delay = std::chrono::seconds{1};
    /// An outage of this length makes the holder spread what it has to catch up on.
    base::duration long_outage = std::chrono::seconds{10};
    base::duration settle_spread = std::chrono::seconds{10};
    fold::limits limits;
};

/// Event: time has passed.
struct tick {
    base::wall_time wall;
};
/// Event: this daemon holds the role with this term.
struct role_acquired {
    std::uint64_t term = 0;
    base::wall_time wall;
};
/// Event: this daemon no longer holds the role.
struct role_lost {};
/// How billing answered.
enum class bill_result {
    accepted,  ///< taken now or before
    refused,   ///< will not be taken
    not_sent,  ///< the lease did not allow it, or no connection
    lost,      ///< no reply
};
/// Event: reply to `send_bill`.
struct bill_replied {
    window_number window = 0;
    bill_result result = bill_result::lost;
};

using keeper_event =
    std::variant<tick, role_acquired, role_lost, usage_report, bill_replied, base::store_reply>;

/// Action: report a frozen window to billing. The adapter checks `lease::role_lease::may_act(term, now)`
/// after connecting and right before writing, and reports `not_sent` if it is false.
struct send_bill {
    std::uint64_t term = 0;
    window_number window = 0;
    std::vector<window_row> rows;
};
/// Action: acknowledge a report to its daemon.
struct report_taken {
    source from;
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
};
/// Action: billing refused a window; an operator has to look at it. The following windows are reported.
struct bill_rejected {
    window_number window = 0;
};

using keeper_action = std::variant<base::store_put, base::store_get, send_bill, report_taken, bill_rejected>;

/// State machine that freezes and reports the usage windows of a zone.
///
/// Concept: windows are frozen one after the other by creating `usage/<zone>/<window>`, which holds the
/// figures and the cumulative marks that they reach. An object is never changed, so the figures of a window
/// are the same in every report, also those of another holder. A conflict means that another holder froze the
/// window; its marks are used from there on.
///
/// Usage: send `role_acquired`, the daemons' reports and ticks; execute the actions and pass the replies
/// back.
class window_keeper {
public:
    /// @param random spreads the work after an outage.
    window_keeper(keeper_options o, base::random_function random);

    /// @param e event.
    /// @param now time of this VM.
    /// @return actions to execute in this order.
    std::vector<keeper_action> handle(const keeper_event& e, base::time_point now);

    /// @return the last window known to be frozen.
    [[nodiscard]] window_number frozen() const noexcept { return last_.window; }

    /// @return the last window known to be accepted by billing.
    [[nodiscard]] window_number reported() const noexcept { return head_.reported; }

    /// @return number of the window that contains `wall`.
    [[nodiscard]] window_number window_of(base::wall_time wall) const;

private:
    enum class phase { not_holder, reading_head, creating_head, reading_windows, running };
    enum class operation { none, get_head, put_head, get_window, get_bill, freeze };

    void on(const tick& e, base::time_point now);
    void on(const role_acquired& e, base::time_point now);
    void on(const role_lost& e, base::time_point now);
    void on(const usage_report& e, base::time_point now);
    void on(const bill_replied& e, base::time_point now);
    void on(const base::store_reply& e, base::time_point now);

    void advance(base::time_point now);
    void advance_running(base::time_point now);
    void get(operation op, const std::string& key, base::time_point now);
    void put(operation op, const std::string& key, std::string value, std::uint64_t expected,
             base::time_point now);
    void put_head(base::time_point now);
    void start_freeze(base::time_point now);
    void retire_sources(window_record& r) const;
    void got(operation op, const std::optional<base::stored_object>& current, base::time_point now);
    void got_head(const std::optional<base::stored_object>& current);
    void got_window(const std::optional<base::stored_object>& current, base::time_point now);
    void got_bill(const std::optional<base::stored_object>& current, base::time_point now);
    void written(operation op, const lease::write_result& r, base::time_point now);
    void frozen(const lease::write_result& r, base::time_point now);
    void note_failure(base::time_point now);
    void note_success(base::time_point now);
    [[nodiscard]] std::string window_key(window_number w) const;
    [[nodiscard]] std::string head_key() const;
    [[nodiscard]] std::string token(std::uint64_t correlation) const;

    keeper_options options_;
    base::random_function random_;
    fold fold_;
    lease::conditional_write write_;

    phase phase_ = phase::not_holder;
    operation operation_ = operation::none;
    std::uint64_t get_correlation_ = 0;
    base::time_point operate_at_;
    std::uint64_t term_ = 0;
    base::time_point acquired_at_;
    base::wall_time acquired_wall_;

    head_record head_;         ///< as it should be
    head_record stored_head_;  ///< as it is
    std::uint64_t head_version_ = 0;
    window_number reading_ = 0;
    window_number closed_ = 0;
    window_record last_;
    window_record freezing_;

    bool billing_ = false;
    window_number accepted_ =
        0;  ///< last window that billing accepted since the role was acquired; 0 if none
    base::time_point bill_at_;
    std::optional<base::time_point> outage_since_;
    std::uint64_t next_correlation_ = 1;
    std::vector<keeper_action> actions_;
};

}  // namespace chicorygap::usage
