/// @file
/// Processing of the orders of one zone.
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

/// Parameters of an order processor.
struct order_options {
    std::string zone;
    std::string holder;             ///< identifies this daemon
    std::uint64_t incarnation = 0;  ///< differs for every start of the daemon
    /// Delay after the role was acquired before an order is sent to a receiver that ignores fencing tokens.
    /// Equals the longest time for which an order of the former holder is in flight (design 3.2).
    base::duration unfenced_receiver_delay = std::chrono::seconds{2};
    /// Time after the start of draining until no daemon sends new requests to the server (P11).
    base::duration drain_propagation_time = std::chrono::seconds{2};
    base::duration retry_delay = std::chrono::seconds{1};
    base::duration max_retry_delay = std::chrono::seconds{30};
    /// Interval at which the order records are read again, to find a record that a delayed write of a former
    /// holder created.
    base::duration refresh_interval = std::chrono::seconds{30};
    std::size_t slot_count = 256;         ///< order records kept per zone
    std::size_t max_pending_orders = 64;  ///< requested orders without a record
};

/// Event: time has passed.
struct tick {};
/// Event: this daemon holds the role with this term.
struct role_acquired {
    std::uint64_t term = 0;
};
/// Event: this daemon no longer holds the role.
struct role_lost {};
/// Event: an order is requested. At most one order is created for each deduplication key, so the event may be
/// repeated. A new order requires a new key.
struct order_requested {
    std::string deduplication_key;
    order_content content;
};
/// Result of sending an order.
enum class send_result {
    accepted,
    rejected,     ///< the receiver rejected the order
    stale_token,  ///< the receiver has seen a higher term
    not_sent,     ///< no byte was written, because the lease or the connection did not permit it
    no_reply,     ///< no reply arrived; the order may have taken effect
};
/// Event: reply to `send_order`.
struct order_replied {
    std::uint64_t sequence = 0;
    send_result result = send_result::no_reply;
};
/// Event: number of requests that run on a backend server, summed over all daemons.
struct running_requests_reported {
    std::string server;
    std::uint32_t count = 0;
};

using order_event = std::variant<tick, role_acquired, role_lost, order_requested, order_replied,
                                 running_requests_reported, base::store_reply>;

/// Action: send the order. The caller checks `lease::role_lease::may_act(term, now)` after connecting and
/// right before writing, and reports `not_sent` if it is false.
struct send_order {
    std::uint64_t sequence = 0;
    std::string order_id;    ///< the same for every retry, including those by a later holder
    std::uint64_t term = 0;  ///< fencing token
    order_content content;
};
/// Action: drain the server, which will be released.
struct drain_server {
    std::string server;
};
/// Action: the order has been accepted or rejected.
struct order_settled {
    std::string deduplication_key;
    order_status status = order_status::accepted;
};
/// Action: the request for an order was declined; repeat it later.
struct order_declined {
    std::string deduplication_key;
    base::result_code code = base::result_code::lease_not_held;
};
/// Action: a receiver has seen a higher term; the lease of this daemon is out of date.
struct superseded {};

using order_action = std::variant<base::store_put, base::store_list, send_order, drain_server, order_settled,
                                  order_declined, superseded>;

/// State machine that processes the orders of a zone for backend servers and engines.
///
/// Before an order is sent, a conditional update stores a record of it with the status `open`. The order is
/// then sent with the same id until the response of the receiver is known. The next holder of the role loads
/// the records and continues with the open orders.
///
/// Usage: send `role_acquired`, then `order_requested`; execute the actions and pass the replies back.
/// Release the role only while `has_order_in_flight()` is false.
class order_processor {
public:
    explicit order_processor(order_options o);

    /// @param now monotonic time of this VM.
    /// @return the actions to execute, in order.
    std::vector<order_action> handle(const order_event& e, base::time_point now);

    /// @return true while the reply to an order is outstanding.
    [[nodiscard]] bool has_order_in_flight() const noexcept;

    /// @return the known orders of this zone by sequence. Capacity planning counts the servers of open and
    /// accepted orders as starting.
    [[nodiscard]] const std::map<std::uint64_t, order_record>& records() const noexcept {
        return table_.records();
    }

private:
    struct delivery {
        bool in_flight = false;
        base::time_point send_at;
        base::duration delay{};
        base::time_point drain_started_at;
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
    void handle_list_reply(const base::store_reply& e, base::time_point now);
    void advance(base::time_point now);
    void start_write(base::time_point now);
    void write_record(order_record r, base::time_point now);
    void handle_write_result(const lease::write_result& r, base::time_point now);
    void resolve_pending_requests();
    void report_settled(const order_record& r);
    void send_due(base::time_point now);
    void send_if_due(const order_record& r, base::time_point now);
    bool drain_finished(const order_record& r, delivery& d, base::time_point now);
    void schedule_retry(delivery& d, base::time_point now) const;

    order_options options_;
    order_table table_;
    lease::conditional_write write_;
    order_record written_record_;

    bool holds_role_ = false;
    bool loaded_ = false;
    std::uint64_t term_ = 0;
    base::time_point acquired_at_;

    std::deque<order_requested> pending_requests_;
    std::map<std::uint64_t, delivery> deliveries_;  ///< by sequence, of open orders
    /// Results of orders by sequence that are not stored yet.
    std::map<std::uint64_t, order_status> unstored_results_;
    std::uint64_t list_in_flight_ = 0;
    base::time_point next_list_at_;
    std::uint64_t next_correlation_ = 1;
    std::vector<order_action> actions_;
};

}  // namespace chicorygap::orders
