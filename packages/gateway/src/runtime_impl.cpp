#include "runtime_impl.h"

#include "policy.h"

#include <utility>

namespace chicorygap::gateway {

namespace {

const base::request_id& request_of(const dispatch::action& a) {
    return std::visit([](const auto& v) -> const base::request_id& { return v.request; }, a);
}

}  // namespace

service_runtime::impl::impl(runtime_options o, std::shared_ptr<const document::lookup> d)
    : options_{std::move(o)},
      document_{std::move(d)},
      core_{make_core_options(document_->document(), options_.vm, options_.zone), options_.random} {}

void service_runtime::impl::post(const dispatch::event& e) {
    const std::lock_guard lock{mutex_};
    deliver(core_.handle(e, options_.now()));
}

void service_runtime::impl::deliver(const std::vector<dispatch::action>& actions) {
    for (const auto& a : actions) {
        const auto it = open_.find(request_of(a));
        if (it != open_.end()) {
            it->second.box->post(a);
        }
    }
}

void service_runtime::impl::enter(const front::call& c, mailbox& box) {
    const std::lock_guard lock{mutex_};
    open_.insert_or_assign(c.id, open_call{c.key, &box});
}

void service_runtime::impl::leave(const base::request_id& id) {
    const std::lock_guard lock{mutex_};
    open_.erase(id);
}

void service_runtime::impl::apply(std::shared_ptr<const document::lookup> d) {
    const std::lock_guard lock{mutex_};
    document_ = std::move(d);
    deliver(core_.handle(admission::policy_changed{make_policy(document_->document())}, options_.now()));
    stop_withdrawn();
}

void service_runtime::impl::stop_withdrawn() {
    std::vector<base::request_id> withdrawn;
    const auto now = options_.wall_now();
    for (const auto& [id, c] : open_) {
        if (document_->find_key(c.key, now).code != base::result_code::ok) {
            withdrawn.push_back(id);
        }
    }
    for (const auto& id : withdrawn) {
        deliver(core_.handle(dispatch::cancel_request{id, base::result_code::key_withdrawn}, options_.now()));
    }
}

void service_runtime::impl::set_servers(const std::vector<server_entry>& servers) {
    const std::lock_guard lock{mutex_};
    servers_.clear();
    routing::servers_changed list;
    for (const auto& s : servers) {
        servers_.insert_or_assign(s.info.id, s);
        list.servers.push_back(s.info);
    }
    deliver(core_.handle(routing::event{list}, options_.now()));
}

void service_runtime::impl::stop_all(base::result_code reason) {
    const std::lock_guard lock{mutex_};
    std::vector<base::request_id> ids;
    for (const auto& [id, c] : open_) {
        ids.push_back(id);
    }
    for (const auto& id : ids) {
        deliver(core_.handle(dispatch::cancel_request{id, reason}, options_.now()));
    }
}

std::shared_ptr<const document::lookup> service_runtime::impl::document() const {
    const std::lock_guard lock{mutex_};
    return document_;
}

std::vector<server_entry> service_runtime::impl::servers() const {
    const std::lock_guard lock{mutex_};
    std::vector<server_entry> out;
    for (const auto& [id, s] : servers_) {
        out.push_back(s);
    }
    return out;
}

std::optional<backend::endpoint> service_runtime::impl::address(const base::backend_server_id& id) const {
    const std::lock_guard lock{mutex_};
    const auto it = servers_.find(id);
    if (it == servers_.end()) {
        return std::nullopt;
    }
    return it->second.address;
}

dispatch::status service_runtime::impl::snapshot() const {
    const std::lock_guard lock{mutex_};
    return core_.snapshot(options_.now());
}

std::vector<routing::server_in_flight> service_runtime::impl::load_digest(std::size_t limit) const {
    const std::lock_guard lock{mutex_};
    return core_.load_digest(limit);
}

std::size_t service_runtime::impl::open_requests() const {
    const std::lock_guard lock{mutex_};
    return open_.size();
}

}  // namespace chicorygap::gateway
