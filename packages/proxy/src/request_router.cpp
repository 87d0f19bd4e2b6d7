#include "proxy/request_router.h"

#include "proxied_request.h"
#include "request_router_impl.h"

#include <utility>

namespace chicorygap::proxy {

request_router::request_router(net::loop& l, const header_codec& codec, router_options o,
                               base::random_function random, router_hooks hooks)
    : impl_{std::make_unique<impl>(l, codec, std::move(o), std::move(random), std::move(hooks))} {}
request_router::~request_router() = default;

void request_router::set_catalog(std::shared_ptr<const catalog::snapshot> s) {
    impl_->set_catalog(std::move(s));
}
void request_router::set_servers(const std::vector<catalog::backend_server>& servers) {
    impl_->set_servers(servers);
}
void request_router::set_evacuations(catalog::evacuation_state state) {
    impl_->set_evacuations(std::move(state));
}
void request_router::set_peer_load(const base::vm_id& peer, const service_loads& loads,
                                   base::duration lifetime, const base::zone_id& zone) {
    impl_->set_peer_load(peer, loads, lifetime, zone);
}
void request_router::set_retry_budget_share(const retry_budget_share& s) {
    impl_->set_retry_budget_share(s);
}
void request_router::set_shutdown(const shutdown_times& times) {
    impl_->shutdown = times;
}
void request_router::end_requests() {
    impl_->end_requests();
}
void request_router::handle(http::server_session& session, http::request&& r) {
    impl_->handle(session, std::move(r));
}
void request_router::refuse_body(http::server_session& session, const http::request_head& head) {
    impl_->refuse_body(session, head);
}
void request_router::refuse_head(http::server_session& session, const http::request_head* head) {
    impl_->refuse_head(session, head);
}

void request_router::check_memory() {
    impl_->check_memory();
}

void request_router::caller_disconnected(http::server_session& session) {
    impl_->caller_disconnected(session);
}
void request_router::drained(http::server_session& session) {
    impl_->drained(session);
}
crash_guard::prompt_guard& request_router::prompt_guard() {
    return impl_->guard;
}
backpressure::signal_table& request_router::server_signals() {
    return impl_->signals;
}
const backpressure::signal_table& request_router::server_signals() const {
    return impl_->signals;
}
std::vector<catalog::backend_server> request_router::servers() const {
    return impl_->servers();
}
service_loads request_router::local_loads() const {
    return impl_->local_loads();
}
std::unordered_map<base::service_id, scheduling::scheduler_status> request_router::status() const {
    return impl_->status();
}
std::uint64_t request_router::invalid_server_reports() const {
    return impl_->reports.count();
}
std::size_t request_router::open_requests() const {
    return impl_->active_requests.size();
}
std::size_t request_router::connections_opened() const {
    return impl_->pool.opened();
}

}  // namespace chicorygap::proxy
