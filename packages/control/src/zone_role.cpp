#include "control/zone_role.h"

#include "base/error.h"
#include "base/log.h"

#include <utility>

namespace chicorygap::control {

namespace {

template <typename... Functions>
struct overloaded : Functions... {
    using Functions::operator()...;
};

template <typename... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

// Calls of one pass; a machine with more to do continues at the next tick, so that the lease is renewed in
// between.
constexpr int calls_per_pass = 20;

template <typename Hook, typename... Arguments>
void call(const Hook& hook, const Arguments&... arguments) {
    if (hook) {
        hook(arguments...);
    }
}

lease::lease_options lease_options_of(const zone_role_options& o) {
    lease::lease_options l;
    l.role = "zone-control-" + o.zone;
    l.holder = o.daemon;
    l.incarnation = o.incarnation;
    return l;
}

orders::order_options order_options_of(const zone_role_options& o) {
    orders::order_options r;
    r.zone = o.zone;
    r.holder = o.daemon;
    r.incarnation = o.incarnation;
    return r;
}

usage::keeper_options keeper_options_of(const zone_role_options& o) {
    usage::keeper_options r;
    r.zone = o.zone;
    r.holder = o.daemon;
    r.incarnation = o.incarnation;
    r.window_length = o.window_length;
    return r;
}

}  // namespace

zone_role::zone_role(zone_role_options o, ports::object_store& store, ports::order_service& orders,
                     ports::billing_service& billing, zone_role_hooks hooks)
    : options_{std::move(o)},
      executor_{store, options_.call_timeout},
      order_service_{orders},
      billing_{billing},
      hooks_{std::move(hooks)},
      lease_{lease_options_of(options_)},
      orders_{order_options_of(options_)},
      windows_{keeper_options_of(options_), hooks_.random} {}

void zone_role::tick_lease() {
    run(lease::tick{});
}

void zone_role::tick_work() {
    handle(orders::order_event{orders::tick{}});
    handle(usage::keeper_event{usage::tick{hooks_.wall_now()}});
}

void zone_role::set_candidate(bool candidate) {
    run(lease::candidacy_changed{candidate});
}

void zone_role::release() {
    // Orders are sent on this thread, so none is in flight here.
    run(lease::release_requested{});
}

void zone_role::run(const lease::lease_event& first) {
    std::deque<lease::lease_event> events{first};
    while (!events.empty()) {
        for (const auto& a : lease_.handle(events.front(), hooks_.now())) {
            act(a, events);
        }
        events.pop_front();
    }
}

void zone_role::handle(const orders::order_event& e) {
    std::deque<orders::order_event> events{e};
    while (!events.empty()) {
        for (const auto& a : orders_.handle(events.front(), hooks_.now())) {
            act(a, events);
        }
        events.pop_front();
    }
}

void zone_role::handle(const usage::keeper_event& e) {
    window_events_.push_back(e);
    for (int n = 0; n < calls_per_pass && !window_events_.empty(); ++n) {
        const auto next = std::move(window_events_.front());
        window_events_.pop_front();
        for (const auto& a : windows_.handle(next, hooks_.now())) {
            act(a, window_events_);
        }
    }
}

void zone_role::act(const lease::lease_action& a, std::deque<lease::lease_event>& events) {
    std::visit(
        overloaded{[&](const lease::acquired& v) {
                       base::log_line{base::log_level::info, "control", "Role acquired."}
                           .field("zone", options_.zone)
                           .field("term", static_cast<long long>(v.term));
                       handle(orders::order_event{orders::role_acquired{v.term}});
                       handle(usage::keeper_event{usage::role_acquired{v.term, hooks_.wall_now()}});
                   },
                   [&](const lease::lost& v) {
                       base::log_line{base::log_level::warning, "control", "Role lost."}
                           .field("zone", options_.zone)
                           .field("term", static_cast<long long>(v.term));
                       handle(orders::order_event{orders::role_lost{}});
                       handle(usage::keeper_event{usage::role_lost{}});
                   },
                   [&](const lease::released&) {
                       handle(orders::order_event{orders::role_lost{}});
                       handle(usage::keeper_event{usage::role_lost{}});
                   },
                   [&](const auto& store_action) { events.emplace_back(executor_.run(store_action)); }},
        a);
}

void zone_role::act(const orders::order_action& a, std::deque<orders::order_event>& events) {
    std::visit(
        overloaded{[&](const orders::send_order& v) {
                       events.emplace_back(orders::order_replied{v.sequence, send(v)});
                   },
                   [&](const orders::drain_server& v) { call(hooks_.drain_server, v.server); },
                   [&](const orders::order_settled& v) { call(hooks_.order_settled, v); },
                   [&](const orders::order_declined& v) { call(hooks_.order_declined, v); },
                   [&](const orders::superseded&) { run(lease::release_requested{}); },
                   [&](const auto& store_action) { events.emplace_back(executor_.run(store_action)); }},
        a);
}

void zone_role::act(const usage::keeper_action& a, std::deque<usage::keeper_event>& events) {
    std::visit(
        overloaded{[&](const usage::send_bill& v) {
                       events.emplace_back(usage::bill_replied{v.window, send(v)});
                   },
                   [&](const usage::report_taken& v) { call(hooks_.report_taken, v); },
                   [&](const usage::bill_rejected& v) { call(hooks_.bill_rejected, v.window); },
                   [&](const auto& store_action) { events.emplace_back(executor_.run(store_action)); }},
        a);
}

orders::send_result zone_role::send(const orders::send_order& o) {
    const bool for_platform = o.content.kind == orders::order_kind::request_servers ||
                              o.content.kind == orders::order_kind::release_server;
    if (!may_act(o.term)) {
        return orders::send_result::not_sent;
    }
    if (for_platform) {
        return send_to_platform(o);
    }
    if (!hooks_.send_to_engine) {
        return orders::send_result::rejected;
    }
    return hooks_.send_to_engine(o, [this, term = o.term] { return may_act(term); });
}

// The lease is checked again between connecting and writing, so that a pause while connecting sends nothing.
// After that the call lasts at most `order_timeout`, which is below `lease_options::in_flight_margin`.
orders::send_result zone_role::send_to_platform(const orders::send_order& o) {
    ports::order p;
    p.id = o.order_id;
    p.zone = base::zone_id{options_.zone};
    p.service = base::service_id{o.content.service};
    p.action = o.content.kind == orders::order_kind::request_servers ? ports::order_action::request
                                                                     : ports::order_action::release;
    p.server_kind = o.content.argument;
    p.count = o.content.count;
    p.server = base::backend_server_id{o.content.server};
    p.fencing_token = o.term;
    try {
        const auto guard = [this, term = o.term] { return may_act(term); };
        const auto r = order_service_.submit_guarded(p, guard, options_.order_timeout);
        return r.accepted ? orders::send_result::accepted : orders::send_result::stale_token;
    } catch (const base::error& e) {
        switch (e.code()) {
            case base::result_code::platform_unavailable:
            case base::result_code::lease_not_held:
                return orders::send_result::not_sent;
            case base::result_code::order_refused:
                return orders::send_result::rejected;
            default:
                return orders::send_result::no_reply;
        }
    }
}

usage::bill_result zone_role::send(const usage::send_bill& b) {
    ports::usage_report r;
    r.zone = base::zone_id{options_.zone};
    r.window_start = base::wall_time{
        std::chrono::duration_cast<base::wall_time::duration>(options_.window_length) * b.window};
    r.term = b.term;
    for (const auto& row : b.rows) {
        r.lines.push_back({row.key.service, row.key.workspace, row.key.traffic_class, row.figures.requests,
                           row.figures.prompt_tokens, row.figures.output_tokens, !row.carry_over.zero()});
    }
    if (!may_act(b.term)) {
        return usage::bill_result::not_sent;
    }
    try {
        const auto guard = [this, term = b.term] { return may_act(term); };
        const auto reply = billing_.report_guarded(r, guard, options_.order_timeout);
        return reply.accepted ? usage::bill_result::accepted : usage::bill_result::refused;
    } catch (const base::error& e) {
        const bool without_effect = e.code() == base::result_code::platform_unavailable ||
                                    e.code() == base::result_code::lease_not_held;
        return without_effect ? usage::bill_result::not_sent : usage::bill_result::lost;
    }
}

}  // namespace chicorygap::control
