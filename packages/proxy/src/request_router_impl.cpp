#include "request_router_impl.h"

#include "base/error.h"
#include "base/log.h"
#include "memory/account.h"
#include "proxied_request.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <variant>

namespace chicorygap::proxy {

namespace {

using namespace std::chrono_literals;

/// Interval at which the schedulers check queued requests; short relative to the shortest target latency.
constexpr base::duration tick_interval = 40ms;
/// Interval at which idle connections are checked for expiry.
constexpr base::duration expiry_interval = 1s;
/// Retry-After of a request that was refused because of the memory that it needs; most requests end within
/// this time.
constexpr base::duration retry_after_no_memory = 500ms;
constexpr int status_unavailable = 503;
/// Attempts and requests that hold less are not ended for their memory: all that are open together hold less
/// than the limit.
constexpr std::size_t min_shed_bytes = std::size_t{16} * 1024;

}  // namespace

request_router::impl::impl(net::loop& l, const header_codec& c, router_options o, base::random_function r,
                           router_hooks h)
    : loop{l},
      codec{c},
      options{std::move(o)},
      random{std::move(r)},
      hooks{std::move(h)},
      pool{l, options.account},
      signals{options.self, options.zone, l.now()},
      ends{l, pool, guard} {
    if (!hooks.check_event) {
        throw base::error{base::result_code::internal, "a router needs a check of events"};
    }
    signals.set_hooks({.changed = hooks.signals_changed,
                       .news = hooks.signal_news,
                       .server_leaving = [this] { on_server_leaving(); },
                       .server_cold = hooks.server_cold});
    ends.set_hooks(
        {.watched =
             [this](const catalog::backend_server& s) { return signals.limits_cold_servers(s.service); },
         .ended =
             [this](const catalog::backend_server& s) {
                 signals.record_unreachable(backpressure::key_of(s), loop.now());
             }});
    loop.every(expiry_interval, [this] { pool.expire(); });
}

request_router::impl::~impl() = default;

retry::budget_options request_router::impl::budget_options() const {
    return {.ratio = options.retries.ratio,
            .overload_ratio = options.retries.ratio,
            .min_retries = 0,
            .extra_retries = options.retries.extra_retries,
            .window = options.retries.window};
}

std::optional<scheduling::zone_options> request_router::impl::zone_options(const base::service_id& id) const {
    if (!options.zone_byte_price_ms_per_mb) {
        return std::nullopt;
    }
    const auto log_change = [id](const scheduling::zone_change& change) {
        const auto first_event =
            std::chrono::duration_cast<std::chrono::milliseconds>(change.home.first_event);
        base::log_line{base::log_level::info, "proxy", "Zone preference changed."}
            .field("service", id.str())
            .field("zone", change.home.zone.str())
            .field("from", scheduling::to_string(change.from))
            .field("state", scheduling::to_string(change.to))
            .field("share_percent", std::llround(change.share * 100))
            .field("demand", std::llround(change.home.demand))
            .field("places", std::llround(change.home.places))
            .field("waiting", std::llround(change.home.waiting))
            .field("first_event_ms", static_cast<long long>(first_event.count()));
    };
    return scheduling::zone_options{*options.zone_byte_price_ms_per_mb, log_change};
}

request_router::impl::service_state& request_router::impl::service(const base::service_id& id) {
    auto& s = services_[id];
    if (!s.scheduler) {
        s.scheduler = std::make_unique<scheduling::scheduler>(
            scheduling::scheduler_options{options.self, options.zone, &signals, zone_options(id),
                                          options.shared_machines},
            random);
        s.budget = retry::budget{budget_options()};
        const auto* known = catalog ? catalog->find_service(id) : nullptr;
        s.scheduler->set_engine(known != nullptr ? known->engine : std::nullopt);
        s.scheduler->set_servers(servers_by_service_[id], loop.now());
    }
    return s;
}

void request_router::impl::set_catalog(std::shared_ptr<const catalog::snapshot> s) {
    catalog = std::move(s);
    for (auto& [id, state] : services_) {
        if (const auto* known = catalog->find_service(id)) {
            state.scheduler->set_engine(known->engine);
        }
    }
    backpressure::warmup_table::service_warmups warmups;
    for (const auto& [id, known] : catalog->services()) {
        service(id);
        if (known.warmup) {
            warmups.emplace(id, *known.warmup);
        }
    }
    signals.set_warmups(options.cold_servers, std::move(warmups), loop.now());
}

void request_router::impl::set_servers(const std::vector<catalog::backend_server>& servers) {
    server_list_updated_at = base::boot_clock::now();
    servers_by_service_.clear();
    for (const auto& s : servers) {
        servers_by_service_[s.service].push_back(s);
    }
    signals.set_servers(servers, loop.now());
    guard.set_server_count(servers.size());
    apply_servers();
}

void request_router::impl::set_evacuations(catalog::evacuation_state state) {
    if (evacuations_ == state) {
        return;
    }
    const auto previous = std::exchange(evacuations_, std::move(state));
    for (const auto& zone : previous.evacuated) {
        if (!evacuations_.evacuated.contains(zone)) {
            signals.zone_returned(zone, loop.now());
        }
    }
    apply_servers();
}

void request_router::impl::mark_evacuation(catalog::backend_server& s) const {
    s.evacuated = evacuations_.evacuated.contains(s.zone);
    const auto it = evacuations_.returned.find(s.zone);
    s.returned_at = it == evacuations_.returned.end() ? std::nullopt : std::optional{it->second};
}

void request_router::impl::apply_servers() {
    for (auto& [id, list] : servers_by_service_) {
        for (auto& s : list) {
            s.draining = s.draining || signals.leaving(backpressure::key_of(s));
            mark_evacuation(s);
        }
    }
    ends.set_servers(servers());
    std::vector<base::service_id> ids;
    for (const auto& [id, state] : services_) {
        ids.push_back(id);
    }
    for (const auto& id : ids) {
        apply_decisions(id, services_.at(id).scheduler->set_servers(servers_by_service_[id], loop.now()));
    }
}

// The response that announced it is still being processed.
void request_router::impl::on_server_leaving() {
    if (std::exchange(leaving_servers_pending_, true)) {
        return;
    }
    loop.after({}, [this] {
        leaving_servers_pending_ = false;
        apply_servers();
    });
}

void request_router::impl::observe_signals(const catalog::backend_server& server, bool wrong_server,
                                           const backpressure::server_signals& s, base::time_point sent_at) {
    if (!wrong_server) {
        signals.observe(server, s, sent_at, loop.now());
        return;
    }
    const catalog::backend_server* other = nullptr;
    for (const auto& [id, list] : servers_by_service_) {
        for (const auto& candidate : list) {
            if (candidate.address == server.address &&
                backpressure::key_of(candidate) != backpressure::key_of(server)) {
                other = &candidate;
            }
        }
    }
    if (other != nullptr) {
        signals.observe(*other, s, sent_at, loop.now());
    }
}

bool request_router::impl::usable_report(const catalog::backend_server& server, const response_metadata& m) {
    if (!options.shared_machines || m.wrong_server) {
        return false;
    }
    if (m.invalid_load) {
        reports.invalid(server.id, loop.now());
    }
    return m.load.has_value();
}

std::vector<catalog::backend_server> request_router::impl::servers() const {
    std::vector<catalog::backend_server> out;
    for (const auto& [id, list] : servers_by_service_) {
        out.insert(out.end(), list.begin(), list.end());
    }
    return out;
}

void request_router::impl::set_peer_load(const base::vm_id& peer, const service_loads& loads,
                                         base::duration lifetime, const base::zone_id& zone) {
    peer_load_received_at = loop.now();
    for (const auto& [id, load] : loads) {
        const auto it = services_.find(id);
        if (it != services_.end()) {
            apply_decisions(
                id, it->second.scheduler->set_peer_load(peer, load, loop.now() + lifetime, loop.now(), zone));
        }
    }
}

void request_router::impl::set_retry_budget_share(const retry_budget_share& s) {
    options.retries = s;
    for (auto& [id, state] : services_) {
        state.budget.set_options(budget_options());
    }
}

void request_router::impl::handle(http::server_session& session, http::request&& r) {
    const auto request = std::make_shared<proxied_request>(*this, session, std::move(r));
    const auto id = scheduling::local_request_id{last_request_id_};
    active_requests.emplace(id, request);
    ids_by_session_[&session] = id;
    request->start();
}

void request_router::impl::refuse_body(http::server_session& session, const http::request_head& head) {
    refuse_for_memory(session, head, "no_memory_for_body");
}

void request_router::impl::refuse_head(http::server_session& session, const http::request_head* head) {
    if (head != nullptr) {
        refuse_for_memory(session, *head, "no_memory_for_head");
        return;
    }
    session.respond(codec.error_response(status_unavailable, {}, retry_after_no_memory), {});
}

void request_router::impl::refuse_for_memory(http::server_session& session, const http::request_head& head,
                                             const char* cause) {
    request_record record;
    record.id = codec.decode(head).id;
    record.status = status_unavailable;
    record.code = base::result_code::queue_full;
    record.failure_cause = cause;
    session.respond(codec.error_response(status_unavailable, record.id, retry_after_no_memory), {});
    if (hooks.request_ended) {
        hooks.request_ended(record);
    }
}

memory::pressure request_router::impl::memory_pressure() const noexcept {
    return options.account == nullptr ? memory::pressure::none : options.account->level();
}

void request_router::impl::check_memory() {
    if (memory_pressure() != memory::pressure::exceeded || std::exchange(memory_check_pending_, true)) {
        return;
    }
    loop.after({}, [this] {
        memory_check_pending_ = false;
        shed_memory();
    });
}

void request_router::impl::shed_memory() {
    using held_request = std::pair<std::size_t, std::shared_ptr<proxied_request>>;
    const auto end_largest = [this](auto bytes_of, auto end) {
        std::vector<held_request> holders;
        for (const auto& [id, request] : active_requests) {
            if (const auto n = bytes_of(*request); n >= min_shed_bytes) {
                holders.emplace_back(n, request);
            }
        }
        std::sort(holders.begin(), holders.end(),
                  [](const held_request& a, const held_request& b) { return a.first > b.first; });
        std::size_t ended = 0;
        for (const auto& [n, request] : holders) {
            if (options.account->excess() == 0) {
                break;
            }
            end(*request);
            ++ended;
        }
        return ended;
    };
    const auto before = options.account->held();
    const auto attempts = end_largest([](const proxied_request& r) { return r.unvalidated_bytes(); },
                                      [](proxied_request& r) { r.on_memory_exceeded(); });
    const auto requests = end_largest([](const proxied_request& r) { return r.pending_output_bytes(); },
                                      [](proxied_request& r) { r.on_memory_exceeded_by_output(); });
    if (attempts + requests == 0) {
        return;
    }
    base::log_line{base::log_level::warning, "proxy", "Memory limit exceeded."}
        .field("held_before", static_cast<long long>(before))
        .field("held", static_cast<long long>(options.account->held()))
        .field("limit", static_cast<long long>(options.account->limit()))
        .field("attempts_ended", static_cast<long long>(attempts))
        .field("requests_ended", static_cast<long long>(requests));
}

void request_router::impl::caller_disconnected(http::server_session& session) {
    const auto it = ids_by_session_.find(&session);
    if (it == ids_by_session_.end()) {
        return;
    }
    const auto found = active_requests.find(it->second);
    ids_by_session_.erase(it);
    if (found != active_requests.end()) {
        const auto request = found->second;
        request->on_caller_disconnected();
    }
}

void request_router::impl::drained(http::server_session& session) {
    const auto it = ids_by_session_.find(&session);
    const auto found = it == ids_by_session_.end() ? active_requests.end() : active_requests.find(it->second);
    if (found != active_requests.end()) {
        const auto request = found->second;
        request->on_caller_drained();
    }
}

void request_router::impl::end_requests() {
    const auto requests = active_requests;  // each removes itself
    // Those that wait end first, because they would take the places of the others.
    for (const bool running : {false, true}) {
        for (const auto& [id, request] : requests) {
            if (request->running() == running) {
                request->on_shutdown();
            }
        }
    }
}

void request_router::impl::remove(scheduling::local_request_id id, http::server_session* session) {
    active_requests.erase(id);
    const auto it = ids_by_session_.find(session);
    if (it != ids_by_session_.end() && it->second == id) {
        ids_by_session_.erase(it);
    }
}

void request_router::impl::apply_decisions(const base::service_id& id,
                                           const std::vector<scheduling::decision>& decisions) {
    for (const auto& decision : decisions) {
        const auto request_id = std::visit([](const auto& d) { return d.id; }, decision);
        const auto it = active_requests.find(request_id);
        if (it == active_requests.end()) {
            continue;
        }
        const auto request = it->second;
        if (const auto* start = std::get_if<scheduling::start_decision>(&decision)) {
            request->start_attempt(*start);
        } else {
            const auto& reject = std::get<scheduling::reject_decision>(decision);
            request->on_rejected(reject.code, reject.retry_after);
        }
    }
    schedule_tick(id);
}

void request_router::impl::schedule_tick(const base::service_id& id) {
    auto& s = service(id);
    if (!s.tick_scheduled && s.scheduler->has_waiting()) {
        s.tick_scheduled = true;
        loop.after(tick_interval, [this, id] { tick(id); });
    }
}

void request_router::impl::tick(const base::service_id& id) {
    auto& s = service(id);
    s.tick_scheduled = false;
    apply_decisions(id, s.scheduler->tick(loop.now()));
}

service_loads request_router::impl::local_loads() const {
    service_loads out;
    for (const auto& [id, s] : services_) {
        out.emplace(id, s.scheduler->local_load(loop.now()));
    }
    return out;
}

std::unordered_map<base::service_id, scheduling::scheduler_status> request_router::impl::status() const {
    std::unordered_map<base::service_id, scheduling::scheduler_status> out;
    for (const auto& [id, s] : services_) {
        out.emplace(id, s.scheduler->status(loop.now()));
    }
    return out;
}

}  // namespace chicorygap::proxy
