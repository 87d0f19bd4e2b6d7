/// @file
/// Implementation of the dispatch core.
#pragma once

#include "admission/action.h"
#include "admission/controller.h"
#include "dispatch/dispatcher.h"
#include "open_request.h"
#include "routing/router.h"

#include <unordered_map>

namespace chicorygap::dispatch {

/// State behind `dispatcher`. One overload of `on` per event.
class dispatcher::state {
public:
    state(options o, base::random_function random);

    std::vector<action> handle(const event& e, base::time_point now);
    [[nodiscard]] status snapshot(base::time_point now) const;
    [[nodiscard]] const routing::router& router() const noexcept { return router_; }
    [[nodiscard]] std::size_t open_requests() const noexcept { return open_.size(); }

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

    void admit(const admission::event& e);
    void start(open_request& r);
    void fail_or_retry(open_request& r);
    void end_complete(open_request& r);
    void end_rejected(open_request& r, base::result_code code, base::duration retry_after = {});
    void end_stopped(open_request& r, base::result_code code);
    void release_slot(open_request& r, base::duration service_time);
    void update_capacity();
    void forget(open_request& r);
    open_request* find(const base::request_id& id);

    options options_;
    admission::controller admission_;
    routing::router router_;
    retry::budget budget_;
    std::unordered_map<base::request_id, open_request> open_;
    int admitted_ = 0;
    /// Server of the attempt that is being preempted, for the request that starts next.
    base::backend_server_id freed_server_;
    int announced_slots_ = -1;
    counters totals_;

    // Valid during one call of `handle`.
    base::time_point now_;
    std::vector<action> actions_;
};

}  // namespace chicorygap::dispatch
