#include "gateway/service_runtime.h"

#include "request_executor.h"
#include "runtime_impl.h"

#include <utility>

namespace chicorygap::gateway {

service_runtime::service_runtime(runtime_options o, std::shared_ptr<const document::lookup> d)
    : impl_{std::make_unique<impl>(std::move(o), std::move(d))} {}
service_runtime::~service_runtime() = default;

void service_runtime::apply_document(std::shared_ptr<const document::lookup> d) {
    impl_->apply(std::move(d));
}

std::shared_ptr<const document::lookup> service_runtime::current_document() const {
    return impl_->document();
}

void service_runtime::set_servers(const std::vector<server_entry>& servers) {
    impl_->set_servers(servers);
}

std::vector<server_entry> service_runtime::servers() const {
    return impl_->servers();
}

void service_runtime::handle(const dispatch::event& e) {
    impl_->post(e);
}

void service_runtime::execute(const front::call& c, front::responder& out,
                              const front::caller_monitor& caller) {
    request_executor{*impl_, c, out, caller}.run();
}

void service_runtime::stop_all(base::result_code reason) {
    impl_->stop_all(reason);
}

dispatch::status service_runtime::snapshot() const {
    return impl_->snapshot();
}

std::vector<routing::server_in_flight> service_runtime::load_digest(std::size_t limit) const {
    return impl_->load_digest(limit);
}

std::size_t service_runtime::open_requests() const {
    return impl_->open_requests();
}

}  // namespace chicorygap::gateway
