/// @file
/// Implementation of the dispatcher.
#pragma once

#include "admission/action.h"
#include "admission/controller.h"
#include "dispatch/dispatcher.h"
#include "open_request.h"
#include "routing/router.h"

#include <unordered_map>

namespace chicorygap::dispatch {

/// Implementation of `dispatcher`, with one overload of `on` per event and one of `apply` per admission
/// decision.
class dispatcher::state {
public:
    state(options o, base::random_function random);

    std::vector<action> handle(const event& e, base::time_point now);
    [[nodiscard]] status snapshot(base::time_point now) const;
    [[nodiscard]] const routing::router& router() const noexcept { return router_; }
    [[nodiscard]] std::size_t open_requests() const noexcept { return open_requests_.size(); }

private:
    void on(const submit_request& e);
    void on(const attempt_progress& e);
    void on(const attempt_result& e);
    void on(const cancel_request& e);
    void on(const tick& e);
    void on(const routing::event& e);
    void on(const admission::pressure_changed& e);
    void on(const admission::limit_share_changed& e);
    void on(const admission::policy_changed& e);

    void apply(const admission::start& a);
    void apply(const admission::reject& a);
    void apply(const admission::preempt& a);

    /// Passes an event to the admission controller and applies its decisions.
    void update_admission(const admission::event& e);
    /// Selects a server and starts an attempt on it, or rejects the request if there is no server.
    void begin_attempt(open_request& r);
    /// Starts another attempt after a failed one, or rejects the request if no further attempt may start.
    void retry_or_reject(open_request& r);
    void end_completed(open_request& r);
    void end_rejected(open_request& r, base::result_code code, base::duration retry_after = {});
    void end_cancelled(open_request& r, base::result_code code);
    /// Releases the slot of the request, or removes the request from the admission queue.
    void release_slot(open_request& r, base::duration service_time);
    /// Reports the number of slots to the admission controller if it has changed.
    void report_capacity();
    void remove(open_request& r);
    open_request* find(const base::request_id& id);

    options options_;
    admission::controller admission_;
    routing::router router_;
    retry::budget budget_;
    std::unordered_map<base::request_id, open_request> open_requests_;
    int admitted_requests_ = 0;
    /// Server of the preempted attempt, on which the next request starts; empty if none.
    base::backend_server_id preempted_server_;
    int reported_slots_ = -1;
    counters counters_;

    // Valid during one call of `handle`.
    base::time_point now_;
    std::vector<action> actions_;
};

}  // namespace chicorygap::dispatch
