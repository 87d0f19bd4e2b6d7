/// @file
/// Orders of one zone.
#pragma once

#include "base/result_code.h"
#include "base/store_message.h"
#include "base/time.h"
#include "lease/conditional_write.h"
#include "orders/order_record.h"
#include "orders/order_table.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace chicorygap::orders {

/// Names and limits of an order book.
struct order_options {
    std::string zone;
    std::string holder;             ///< name of this daemon
    std::uint64_t incarnation = 0;  ///< differs for every start of the daemon
    /// Wait after the role was acquired before an order goes to a receiver that ignores fencing tokens: the
    /// longest time an order of the former holder is in flight (design 3.2).
    base::duration unfenced_receiver_delay = std::chrono::seconds{2};
    /// Time after which no daemon sends new work to a server that is being released (P11).
    base::duration drain_propagation_time = std::chrono::seconds{2};
    base::duration retry_delay = std::chrono::seconds{1};
    base::duration max_retry_delay = std::chrono::seconds{30};
    /// The intents are read again this often to find one that a former holder's delayed write created.
    base::duration refresh_interval = std::chrono::seconds{30};
    std::size_t slot_count = 256;         ///< orders kept per zone
    std::size_t max_pending_orders = 64;  ///< orders wanted but not yet recorded
};

/// Event: time has passed.
struct tick {};
/// Event: this daemon holds the role with this term.
struct role_acquired {
    std::uint64_t term = 0;
};
/// Event: this daemon no longer holds the role.
struct role_lost {};
/// Event: an order is wanted. A need has at most one order; repeat the event freely, and use a new name for a
/// new need.
struct order_requested {
    std::string deduplication_key;
    order_content content;
};
/// How the receiver answered an order.
enum class send_result {
    accepted,
    rejected,     ///< the receiver will not carry it out
    stale_token,  ///< the receiver has seen a higher term
    not_sent,     ///< the lease did not allow it, or no connection: no byte was written
    no_reply,     ///< no reply; it may have been carried out
};
/// Event: reply to `send_order`.
struct order_replied {
    std::uint64_t sequence = 0;
    send_result result = send_result::no_reply;
};
/// Event: requests running on a backend server, summed over all daemons.
struct running_requests_reported {
    std::string server;
    std::uint32_t count = 0;
};

using order_event = std::variant<tick, role_acquired, role_lost, order_requested, order_replied,
                                 running_requests_reported, base::store_reply>;

/// Action: send the order. The adapter checks `lease::role_lease::may_act(term, now)` after connecting and
/// right before writing, and reports `not_sent` if it is false.
struct send_order {
    std::uint64_t sequence = 0;
    std::string order_id;    ///< the same on every repetition, also by a successor
    std::uint64_t term = 0;  ///< fencing token
    order_content content;
};
/// Action: give the server no new work; it is going to be released.
struct drain_server {
    std::string server;
};
/// Action: the order of a need has been accepted or refused.
struct order_settled {
    std::string deduplication_key;
    order_status status = order_status::accepted;
};
/// Action: the need was not taken; want it again later.
struct order_declined {
    std::string deduplication_key;
    base::result_code code = base::result_code::lease_not_held;
};
/// Action: a receiver has seen a higher term; this daemon's lease is out of date.
struct superseded {};

using order_action = std::variant<base::store_put, base::store_list, send_order, drain_server, order_settled,
                                  order_declined, superseded>;

/// State machine for backend server orders and engine orders of a zone.
///
/// Concept: an order is recorded as an open intent by conditional update before it is sent, and sent with the
/// same id until the receiver's answer is known. A successor loads the intents and goes on with the open
/// ones.
///
/// Usage: send `role_acquired`, then `order_requested`; execute the actions and pass the replies back. Hand
/// the role over only while `has_order_in_flight()` is false.
class order_processor {
public:
    explicit order_processor(order_options o);

    /// @param e event.
    /// @param now time of this VM.
    /// @return actions to execute in this order.
    std::vector<order_action> handle(const order_event& e, base::time_point now);

    /// @return true while the reply to an order is outstanding.
    [[nodiscard]] bool has_order_in_flight() const noexcept;

    /// @return orders known in this zone, by sequence. Capacity planning counts open and accepted ones as
    /// coming.
    [[nodiscard]] const std::map<std::uint64_t, order_record>& records() const noexcept {
        return table_.records();
    }

private:
    struct delivery {
        bool in_flight = false;
        base::time_point send_at;
        base::duration delay{};
        base::time_point drained_at;
        bool draining = false;
        bool server_idle = false;
    };

    void on(const tick& e, base::time_point now);
    void on(const role_acquired& e, base::time_point now);
    void on(const role_lost& e, base::time_point now);
    void on(const order_requested& e, base::time_point now);
    void on(const order_replied& e, base::time_point now);
    void on(const running_requests_reported& e, base::time_point now);
    void on(const base::store_reply& e, base::time_point now);

    void load(base::time_point now);
    void loaded(const base::store_reply& e, base::time_point now);
    void advance(base::time_point now);
    void start_write(base::time_point now);
    void write(order_record r, base::time_point now);
    void written(const lease::write_result& r, base::time_point now);
    void decide_waiting();
    void report_settled(const order_record& r);
    void send_due(base::time_point now);
    void send_if_due(const order_record& r, base::time_point now);
    bool drained(const order_record& r, delivery& d, base::time_point now);
    void retry_later(delivery& d, base::time_point now) const;

    order_options options_;
    order_table table_;
    lease::conditional_write write_;
    order_record writing_;

    bool holder_ = false;
    bool loaded_ = false;
    std::uint64_t term_ = 0;
    base::time_point acquired_at_;

    std::deque<order_requested> waiting_;
    std::map<std::uint64_t, delivery> deliveries_;   ///< of open orders
    std::map<std::uint64_t, order_status> settled_;  ///< known answers not yet recorded
    std::uint64_t list_in_flight_ = 0;
    base::time_point list_at_;
    std::uint64_t next_correlation_ = 1;
    std::vector<order_action> actions_;
};

}  // namespace chicorygap::orders
