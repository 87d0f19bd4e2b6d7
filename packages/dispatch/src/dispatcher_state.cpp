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
    update_capacity();
    return std::move(actions_);
}

status dispatcher::state::snapshot(base::time_point now) const {
    return {admission_.snapshot(now), router_.snapshot(now), totals_};
}

void dispatcher::state::on(const submit_request& e) {
    totals_.submitted++;
    budget_.record_request(now_);
    const retry::retry_policy terms{.deadline = e.deadline,
                                    .idempotent = e.idempotent,
                                    .resumable = e.resumable,
                                    .max_attempts = options_.max_attempts,
                                    .hedge_delay = std::nullopt,
                                    .min_attempt_time = {}};
    open_.insert_or_assign(e.id, open_request{e, retry::attempt_tracker{terms}, 0, {}, {}, false, false, {}});
    admit(admission::arrival{.id = e.id,
                             .service_class = e.service_class,
                             .workspace = e.workspace,
                             .prompt_tokens = e.prompt_tokens,
                             .max_output_tokens = e.max_output_tokens,
                             .deadline = e.start_deadline,
                             .resumable = e.resumable && e.idempotent});
}

void dispatcher::state::on(const attempt_progress& e) {
    auto* r = find(e.request);
    if (r == nullptr || r->attempt != e.attempt) {
        return;
    }
    router_.handle(routing::attempt_output_received{{e.request, e.attempt}}, now_);
    if (r->ledger.record_output(e.attempt, e.tokens)) {
        totals_.delivered_tokens += e.tokens;
    }
    if (r->admitted) {
        admit(admission::progress{e.request, static_cast<std::int64_t>(r->ledger.delivered_tokens())});
    }
}

void dispatcher::state::on(const attempt_result& e) {
    auto* r = find(e.request);
    if (r == nullptr || r->attempt != e.attempt) {
        return;
    }
    const auto server = std::exchange(r->server, {});
    r->attempt = 0;
    router_.handle(routing::attempt_finished{{e.request, e.attempt}, server, e.code}, now_);
    r->ledger.finish(e.attempt, {e.code, e.sent});
    if (e.code == result_code::ok) {
        release_slot(*r, e.service_time);
        end_complete(*r);
        return;
    }
    if (r->stop_code) {
        release_slot(*r, {});
        end_stopped(*r, *r->stop_code);
        return;
    }
    if (std::exchange(r->preempted, false)) {
        if (r->admitted) {  // admission chose it again before the cancelled attempt had ended
            start(*r);
        }
        return;
    }
    if (e.code == result_code::caller_gone) {
        release_slot(*r, {});
        end_stopped(*r, e.code);
        return;
    }
    r->tried.push_back(server);
    fail_or_retry(*r);
}

void dispatcher::state::on(const cancel_request& e) {
    auto* r = find(e.request);
    if (r == nullptr) {
        return;
    }
    if (r->attempt != 0) {
        r->stop_code = e.code;
        actions_.emplace_back(cancel_attempt{e.request, r->attempt, e.code});
        return;
    }
    admit(admission::cancelled{e.request});
    r = find(e.request);
    if (r == nullptr) {
        return;
    }
    admitted_ -= std::exchange(r->admitted, false) ? 1 : 0;
    end_stopped(*r, e.code);
}

void dispatcher::state::on(const tick&) {
    const auto s = admission_.snapshot(now_);
    budget_.set_overloaded(s.pressure.level + 1 < base::tier_count);
    admit(admission::tick{});
}

void dispatcher::state::on(const routing::event& e) {
    router_.handle(e, now_);
}
void dispatcher::state::on(const admission::pressure_changed& e) {
    admit(e);
}
void dispatcher::state::on(const admission::limit_share_changed& e) {
    admit(e);
}
void dispatcher::state::on(const admission::policy_changed& e) {
    admit(e);
}

void dispatcher::state::admit(const admission::event& e) {
    for (const auto& a : admission_.handle(e, now_)) {
        std::visit([this](const auto& v) { apply(v); }, a);
    }
    freed_server_ = {};
}

void dispatcher::state::apply(const admission::start& a) {
    auto* r = find(a.id);
    if (r == nullptr) {
        return;
    }
    r->admitted = true;
    admitted_++;
    if (r->attempt == 0) {
        start(*r);
    }
}

void dispatcher::state::apply(const admission::reject& a) {
    auto* r = find(a.id);
    if (r == nullptr) {
        return;
    }
    if (r->attempt != 0) {  // preempted and then refused; the cancelled attempt has not ended yet
        r->stop_code = a.code;
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
    admitted_--;
    totals_.preempted++;
    if (r->attempt != 0) {
        r->preempted = true;
        freed_server_ = r->server;
        actions_.emplace_back(cancel_attempt{a.id, r->attempt, result_code::preempted});
    }
}

void dispatcher::state::start(open_request& r) {
    const routing::route_request request{.model = r.terms.model,
                                         .urgent = r.terms.urgent,
                                         .idempotent = r.terms.idempotent,
                                         .prefixes = r.terms.prefixes,
                                         .excluded = r.tried};
    // A preempting request takes the slot that its victim frees; the router still counts it as taken.
    const auto freed = std::exchange(freed_server_, {});
    const bool usable = !freed.empty() && std::find(r.tried.begin(), r.tried.end(), freed) == r.tried.end();
    auto c = usable ? std::optional{routing::selected_server{.server = freed}}
                    : router_.select_server(request, now_);
    if (!c && !r.tried.empty()) {
        // With every other server gone, a server that failed before is better than a refusal.
        auto any = request;
        any.excluded.clear();
        c = router_.select_server(any, now_);
    }
    if (!c) {
        release_slot(r, {});
        end_rejected(r, result_code::no_backend_server, std::chrono::seconds{1});
        return;
    }
    r.server = c->server;
    r.attempt = r.ledger.start(now_);
    const auto prefix = r.terms.prefixes.empty() ? 0 : r.terms.prefixes.back();
    router_.handle(routing::attempt_started{{r.terms.id, r.attempt}, c->server, prefix}, now_);
    actions_.emplace_back(start_attempt{r.terms.id, r.attempt, c->server, r.ledger.delivered_tokens()});
}

void dispatcher::state::fail_or_retry(open_request& r) {
    const auto next = r.ledger.try_next_attempt(budget_, now_);
    if (next.allowed) {
        totals_.retried++;
        start(r);
        return;
    }
    release_slot(r, {});
    end_rejected(r, next.reason);
}

void dispatcher::state::release_slot(open_request& r, base::duration service_time) {
    const auto id = r.terms.id;
    const auto tokens = static_cast<std::int64_t>(r.ledger.delivered_tokens());
    if (std::exchange(r.admitted, false)) {
        admitted_--;
        // Announced first: a slot that was free on an overloaded server only must not be filled again.
        update_capacity();
        admit(admission::finished{id, tokens, service_time});
    } else {
        // Preempted and queued again, but the attempt ended by itself first.
        admit(admission::cancelled{id});
    }
}

void dispatcher::state::end_complete(open_request& r) {
    totals_.completed++;
    actions_.emplace_back(complete{r.terms.id});
    forget(r);
}

void dispatcher::state::end_rejected(open_request& r, result_code code, base::duration retry_after) {
    totals_.rejected++;
    totals_.wasted_tokens += r.ledger.delivered_tokens();
    actions_.emplace_back(reject{r.terms.id, code, r.ledger.run_state(), retry_after});
    forget(r);
}

void dispatcher::state::end_stopped(open_request& r, result_code code) {
    if (code != result_code::caller_gone) {
        end_rejected(r, code);
        return;
    }
    totals_.wasted_tokens += r.ledger.delivered_tokens();
    forget(r);
}

void dispatcher::state::update_capacity() {
    const int slots = admitted_ + router_.free_slots(now_);
    if (slots == announced_slots_) {
        return;
    }
    announced_slots_ = slots;
    admit(admission::capacity_changed{slots});
}

void dispatcher::state::forget(open_request& r) {
    open_.erase(base::request_id{r.terms.id});
}

open_request* dispatcher::state::find(const base::request_id& id) {
    const auto it = open_.find(id);
    return it == open_.end() ? nullptr : &it->second;
}

}  // namespace chicorygap::dispatch
