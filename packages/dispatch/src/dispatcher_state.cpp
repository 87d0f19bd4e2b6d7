#include "dispatcher_state.h"

#include <algorithm>
#include <utility>

namespace chicorygap::dispatch {

using base::result_code;

dispatcher::state::state(options o, base::random_function random)
    : options_{std::move(o)},
      admission_{options_.policy},
      router_{options_.routing, std::move(random)},
      budget_{options_.budget} {}

std::vector<action> dispatcher::state::handle(const event& e, base::time_point now) {
    now_ = now;
    actions_.clear();
    std::visit([this](const auto& v) { on(v); }, e);
    report_capacity();
    return std::move(actions_);
}

status dispatcher::state::snapshot(base::time_point now) const {
    return {admission_.snapshot(now), router_.snapshot(now), counters_};
}

void dispatcher::state::on(const submit_request& e) {
    counters_.submitted++;
    budget_.record_request(now_);
    const retry::retry_policy policy{.deadline = e.deadline,
                                     .idempotent = e.idempotent,
                                     .resumable = e.resumable,
                                     .max_attempts = options_.max_attempts,
                                     .hedge_delay = std::nullopt,
                                     .min_attempt_time = {}};
    open_requests_.insert_or_assign(
        e.id, open_request{e, retry::attempt_tracker{policy}, 0, {}, {}, false, false, {}});
    update_admission(admission::arrival{.id = e.id,
                                        .service_class = e.service_class,
                                        .workspace = e.workspace,
                                        .prompt_tokens = e.prompt_tokens,
                                        .max_output_tokens = e.max_output_tokens,
                                        .deadline = e.start_deadline,
                                        .resumable = e.resumable && e.idempotent});
}

void dispatcher::state::on(const attempt_progress& e) {
    auto* r = find(e.request);
    if (r == nullptr || r->current_attempt != e.attempt) {
        return;
    }
    router_.handle(routing::attempt_output_received{{e.request, e.attempt}}, now_);
    if (r->tracker.record_output(e.attempt, e.tokens)) {
        counters_.delivered_tokens += e.tokens;
    }
    if (r->admitted) {
        update_admission(
            admission::progress{e.request, static_cast<std::int64_t>(r->tracker.delivered_tokens())});
    }
}

void dispatcher::state::on(const attempt_result& e) {
    auto* r = find(e.request);
    if (r == nullptr || r->current_attempt != e.attempt) {
        return;
    }
    const auto server = std::exchange(r->current_server, {});
    r->current_attempt = 0;
    router_.handle(routing::attempt_finished{{e.request, e.attempt}, server, e.code}, now_);
    r->tracker.finish(e.attempt, {e.code, e.sent});
    if (e.code == result_code::ok) {
        release_slot(*r, e.service_time);
        end_completed(*r);
        return;
    }
    if (r->cancel_code) {
        release_slot(*r, {});
        end_cancelled(*r, *r->cancel_code);
        return;
    }
    if (std::exchange(r->preempted, false)) {
        if (r->admitted) {  // admission restarted the request before the cancelled attempt ended
            begin_attempt(*r);
        }
        return;
    }
    if (e.code == result_code::caller_gone) {
        release_slot(*r, {});
        end_cancelled(*r, e.code);
        return;
    }
    r->failed_servers.push_back(server);
    retry_or_reject(*r);
}

void dispatcher::state::on(const cancel_request& e) {
    auto* r = find(e.request);
    if (r == nullptr) {
        return;
    }
    if (r->current_attempt != 0) {
        r->cancel_code = e.code;
        actions_.emplace_back(cancel_attempt{e.request, r->current_attempt, e.code});
        return;
    }
    update_admission(admission::cancelled{e.request});
    r = find(e.request);
    if (r == nullptr) {
        return;
    }
    admitted_requests_ -= std::exchange(r->admitted, false) ? 1 : 0;
    end_cancelled(*r, e.code);
}

void dispatcher::state::on(const tick&) {
    const auto admission_status = admission_.snapshot(now_);
    budget_.set_overloaded(admission_status.pressure.level + 1 < base::tier_count);
    update_admission(admission::tick{});
}

void dispatcher::state::on(const routing::event& e) {
    router_.handle(e, now_);
}
void dispatcher::state::on(const admission::pressure_changed& e) {
    update_admission(e);
}
void dispatcher::state::on(const admission::limit_share_changed& e) {
    update_admission(e);
}
void dispatcher::state::on(const admission::policy_changed& e) {
    update_admission(e);
}

void dispatcher::state::update_admission(const admission::event& e) {
    for (const auto& a : admission_.handle(e, now_)) {
        std::visit([this](const auto& v) { apply(v); }, a);
    }
    preempted_server_ = {};
}

void dispatcher::state::apply(const admission::start& a) {
    auto* r = find(a.id);
    if (r == nullptr) {
        return;
    }
    r->admitted = true;
    admitted_requests_++;
    if (r->current_attempt == 0) {
        begin_attempt(*r);
    }
}

void dispatcher::state::apply(const admission::reject& a) {
    auto* r = find(a.id);
    if (r == nullptr) {
        return;
    }
    if (r->current_attempt != 0) {  // preempted and then rejected; the cancelled attempt has not ended yet
        r->cancel_code = a.code;
        return;
    }
    end_rejected(*r, a.code, a.retry_after);
}

void dispatcher::state::apply(const admission::preempt& a) {
    auto* r = find(a.id);
    if (r == nullptr || !r->admitted) {
        return;
    }
    r->admitted = false;
    admitted_requests_--;
    counters_.preempted++;
    if (r->current_attempt != 0) {
        r->preempted = true;
        preempted_server_ = r->current_server;
        actions_.emplace_back(cancel_attempt{a.id, r->current_attempt, result_code::preempted});
    }
}

void dispatcher::state::begin_attempt(open_request& r) {
    const routing::route_request request{.model = r.submission.model,
                                         .urgent = r.submission.urgent,
                                         .idempotent = r.submission.idempotent,
                                         .prefixes = r.submission.prefixes,
                                         .excluded = r.failed_servers};
    // A request that preempts another one uses the slot of the preempted attempt, which the router still
    // counts as occupied.
    const auto preempted_server = std::exchange(preempted_server_, {});
    const bool usable = !preempted_server.empty() &&
                        std::find(r.failed_servers.begin(), r.failed_servers.end(), preempted_server) ==
                            r.failed_servers.end();
    auto selected = usable ? std::optional{routing::selected_server{.server = preempted_server}}
                           : router_.select_server(request, now_);
    if (!selected && !r.failed_servers.empty()) {
        // No other server is available: retry on a server that failed before instead of rejecting the
        // request.
        auto any_server = request;
        any_server.excluded.clear();
        selected = router_.select_server(any_server, now_);
    }
    if (!selected) {
        release_slot(r, {});
        end_rejected(r, result_code::no_backend_server, std::chrono::seconds{1});
        return;
    }
    r.current_server = selected->server;
    r.current_attempt = r.tracker.start(now_);
    const auto prefix = r.submission.prefixes.empty() ? 0 : r.submission.prefixes.back();
    router_.handle(routing::attempt_started{{r.submission.id, r.current_attempt}, selected->server, prefix},
                   now_);
    actions_.emplace_back(
        start_attempt{r.submission.id, r.current_attempt, selected->server, r.tracker.delivered_tokens()});
}

void dispatcher::state::retry_or_reject(open_request& r) {
    const auto decision = r.tracker.try_next_attempt(budget_, now_);
    if (decision.allowed) {
        counters_.retried++;
        begin_attempt(r);
        return;
    }
    release_slot(r, {});
    end_rejected(r, decision.reason);
}

void dispatcher::state::release_slot(open_request& r, base::duration service_time) {
    const auto id = r.submission.id;
    const auto tokens = static_cast<std::int64_t>(r.tracker.delivered_tokens());
    if (std::exchange(r.admitted, false)) {
        admitted_requests_--;
        // The capacity is reported before the end of the request. If the request ran on an overloaded server,
        // its slot does not become free and no other request may start in it.
        report_capacity();
        update_admission(admission::finished{id, tokens, service_time});
    } else {
        // The request was preempted and queued again, but its attempt ended before the cancellation took
        // effect.
        update_admission(admission::cancelled{id});
    }
}

void dispatcher::state::end_completed(open_request& r) {
    counters_.completed++;
    actions_.emplace_back(complete{r.submission.id});
    remove(r);
}

void dispatcher::state::end_rejected(open_request& r, result_code code, base::duration retry_after) {
    counters_.rejected++;
    counters_.wasted_tokens += r.tracker.delivered_tokens();
    actions_.emplace_back(reject{r.submission.id, code, r.tracker.run_state(), retry_after});
    remove(r);
}

void dispatcher::state::end_cancelled(open_request& r, result_code code) {
    if (code != result_code::caller_gone) {
        end_rejected(r, code);
        return;
    }
    counters_.wasted_tokens += r.tracker.delivered_tokens();
    remove(r);
}

void dispatcher::state::report_capacity() {
    const int slots = admitted_requests_ + router_.free_slots(now_);
    if (slots == reported_slots_) {
        return;
    }
    reported_slots_ = slots;
    update_admission(admission::capacity_changed{slots});
}

void dispatcher::state::remove(open_request& r) {
    open_requests_.erase(base::request_id{r.submission.id});
}

open_request* dispatcher::state::find(const base::request_id& id) {
    const auto it = open_requests_.find(id);
    return it == open_requests_.end() ? nullptr : &it->second;
}

}  // namespace chicorygap::dispatch
