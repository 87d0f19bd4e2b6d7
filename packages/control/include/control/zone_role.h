/// @file
/// The role `zone-control`: orders and usage of one zone.
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "control/role_runner.h"
#include "control/store_executor.h"
#include "orders/order_processor.h"
#include "ports/billing_service.h"
#include "ports/object_store.h"
#include "ports/order_service.h"
#include "usage/window_keeper.h"

#include <deque>
#include <functional>
#include <string>

namespace chicorygap::control {

/// Names and times of a zone's role.
struct zone_role_options {
    std::string zone;
    std::string daemon;
    std::uint64_t incarnation = 0;  ///< differs for every start of the daemon
    base::duration call_timeout = std::chrono::milliseconds{500};
    /// Longest duration of an order or a report; not above `lease_options::in_flight_margin`.
    base::duration order_timeout = std::chrono::milliseconds{1500};
    base::duration window_length = std::chrono::minutes{1};
};

/// Clocks, randomness and the daemon's reactions. An empty function is not called.
struct zone_role_hooks {
    base::now_function now;
    base::wall_now_function wall_now;
    base::random_function random;
    /// Sends an order to an engine. The function connects, calls `may_write` right before writing, and
    /// returns `not_sent` if that is false.
    std::function<orders::send_result(const orders::send_order&, const std::function<bool()>& may_write)>
        send_to_engine;
    std::function<void(const std::string& server)> drain_server;
    std::function<void(const orders::order_settled&)> order_settled;
    std::function<void(const orders::order_declined&)> order_declined;
    std::function<void(const usage::report_taken&)> report_taken;
    std::function<void(usage::window_number)> bill_rejected;
};

/// Runs the lease, the orders and the usage windows of a zone against the platform.
///
/// Usage: one thread calls all functions; `control::controller` does so.
class zone_role : public role_runner {
public:
    zone_role(zone_role_options o, ports::object_store& store, ports::order_service& orders,
              ports::billing_service& billing, zone_role_hooks hooks);

    void tick_lease() override;
    void tick_work() override;
    void set_candidate(bool candidate) override;
    void release() override;
    [[nodiscard]] const lease::role_lease& lease() const override { return lease_; }

    /// Passes an event (an order requested, running requests reported) to the orders.
    void handle(const orders::order_event& e);
    /// Passes an event (a daemon's report) to the usage windows.
    void handle(const usage::keeper_event& e);

    [[nodiscard]] const orders::order_processor& orders() const { return orders_; }
    [[nodiscard]] const usage::window_keeper& windows() const { return windows_; }

private:
    void run(const lease::lease_event& first);
    void act(const lease::lease_action& a, std::deque<lease::lease_event>& events);
    void act(const orders::order_action& a, std::deque<orders::order_event>& events);
    void act(const usage::keeper_action& a, std::deque<usage::keeper_event>& events);
    orders::send_result send(const orders::send_order& o);
    orders::send_result send_to_platform(const orders::send_order& o);
    usage::bill_result send(const usage::send_bill& b);
    [[nodiscard]] bool may_act(std::uint64_t term) const { return lease_.may_act(term, hooks_.now()); }

    zone_role_options options_;
    store_executor executor_;
    ports::order_service& order_service_;
    ports::billing_service& billing_;
    zone_role_hooks hooks_;
    lease::role_lease lease_;
    orders::order_processor orders_;
    usage::window_keeper windows_;
    std::deque<usage::keeper_event> window_events_;  ///< not yet handled
};

}  // namespace chicorygap::control
