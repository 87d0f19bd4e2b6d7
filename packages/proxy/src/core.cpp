#include "core.h"

#include "flow.h"

#include <algorithm>
#include <variant>

namespace chicorygap::proxy {

namespace {

using namespace std::chrono_literals;

/// How often waiting requests are checked; short against the shortest target.
constexpr base::duration tick_interval = 40ms;
/// How often idle connections are checked.
constexpr base::duration expiry_interval = 1s;

}  // namespace

request_router::core::core(net::loop& l, const header_codec& c, router_options o, base::random_function r,
                           router_hooks h)
    : loop{l}, codec{c}, options{std::move(o)}, random{std::move(r)}, hooks{std::move(h)}, pool{l} {
    loop.every(expiry_interval, [this] { pool.expire(); });
}

request_router::core::~core() = default;

retry::budget_options request_router::core::budget_options() const {
    return {.ratio = options.retries.ratio,
            .overload_ratio = options.retries.ratio,
            .min_retries = 0,
            .extra_retries = options.retries.extra_retries,
            .window = options.retries.window};
}

request_router::core::service_state& request_router::core::service(const base::service_id& id) {
    auto& s = services_[id];
    if (!s.scheduler) {
        s.scheduler = std::make_unique<scheduling::scheduler>(
            scheduling::scheduler_options{options.self, options.zone}, random);
        s.budget = retry::budget{budget_options()};
        const auto* known = catalog ? catalog->find_service(id) : nullptr;
        s.scheduler->set_engine(known != nullptr ? known->engine : std::nullopt);
        s.scheduler->set_servers(servers_[id], loop.now());
    }
    return s;
}

void request_router::core::set_catalog(std::shared_ptr<const catalog::snapshot> s) {
    catalog = std::move(s);
    for (auto& [id, state] : services_) {
        if (const auto* known = catalog->find_service(id)) {
            state.scheduler->set_engine(known->engine);
        }
    }
    for (const auto& [id, known] : catalog->services()) {
        service(id);
    }
}

void request_router::core::set_servers(const std::vector<catalog::backend_server>& servers) {
    servers_changed = base::boot_clock::now();
    servers_.clear();
    for (const auto& s : servers) {
        servers_[s.service].push_back(s);
    }
    std::vector<base::service_id> ids;
    for (const auto& [id, state] : services_) {
        ids.push_back(id);
    }
    for (const auto& id : ids) {
        carry_out(id, services_.at(id).scheduler->set_servers(servers_[id], loop.now()));
    }
}

void request_router::core::set_peer_load(const base::vm_id& peer, const service_loads& loads,
                                         base::duration lifetime) {
    peers_heard = loop.now();
    for (const auto& [id, load] : loads) {
        const auto it = services_.find(id);
        if (it != services_.end()) {
            carry_out(id, it->second.scheduler->set_peer_load(peer, load, loop.now() + lifetime, loop.now()));
        }
    }
}

void request_router::core::set_retry_budget_share(const retry_budget_share& s) {
    options.retries = s;
    for (auto& [id, state] : services_) {
        state.budget.set_options(budget_options());
    }
}

void request_router::core::handle(http::server_session& session, http::request&& r) {
    const auto f = std::make_shared<flow>(*this, session, std::move(r));
    const auto id = scheduling::local_request_id{last_ticket_};
    flows.emplace(id, f);
    by_session_[&session] = id;
    f->begin();
}

void request_router::core::caller_disconnected(http::server_session& session) {
    const auto it = by_session_.find(&session);
    if (it == by_session_.end()) {
        return;
    }
    const auto f = flows.find(it->second);
    by_session_.erase(it);
    if (f != flows.end()) {
        const auto keep = f->second;
        keep->caller_gone();
    }
}

void request_router::core::drained(http::server_session& session) {
    const auto it = by_session_.find(&session);
    if (it != by_session_.end()) {
        flows.at(it->second)->caller_drained();
    }
}

void request_router::core::remove(scheduling::local_request_id id, http::server_session* session) {
    flows.erase(id);
    if (session != nullptr) {
        by_session_.erase(session);
    }
}

void request_router::core::carry_out(const base::service_id& id,
                                     const std::vector<scheduling::decision>& actions) {
    for (const auto& a : actions) {
        const auto ticket = std::visit([](const auto& v) { return v.id; }, a);
        const auto it = flows.find(ticket);
        if (it == flows.end()) {
            continue;
        }
        const auto f = it->second;
        if (const auto* s = std::get_if<scheduling::start_decision>(&a)) {
            f->send(*s);
        } else {
            const auto& r = std::get<scheduling::reject_decision>(a);
            f->refused(r.code, r.retry_after);
        }
    }
    ensure_ticking(id);
}

void request_router::core::ensure_ticking(const base::service_id& id) {
    auto& s = service(id);
    if (!s.ticking && s.scheduler->has_waiting()) {
        s.ticking = true;
        loop.after(tick_interval, [this, id] { tick(id); });
    }
}

void request_router::core::tick(const base::service_id& id) {
    auto& s = service(id);
    s.ticking = false;
    carry_out(id, s.scheduler->tick(loop.now()));
}

service_loads request_router::core::local_loads() const {
    service_loads out;
    for (const auto& [id, s] : services_) {
        out.emplace(id, s.scheduler->own_load(loop.now()));
    }
    return out;
}

std::unordered_map<base::service_id, scheduling::scheduler_status> request_router::core::status() const {
    std::unordered_map<base::service_id, scheduling::scheduler_status> out;
    for (const auto& [id, s] : services_) {
        out.emplace(id, s.scheduler->status(loop.now()));
    }
    return out;
}

}  // namespace chicorygap::proxy
