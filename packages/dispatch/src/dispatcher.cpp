#include "dispatch/dispatcher.h"

#include "dispatcher_state.h"

#include <utility>

namespace chicorygap::dispatch {

dispatcher::dispatcher(options o, base::random_function random)
    : state_{std::make_unique<state>(std::move(o), std::move(random))} {}
dispatcher::~dispatcher() = default;
dispatcher::dispatcher(dispatcher&&) noexcept = default;
dispatcher& dispatcher::operator=(dispatcher&&) noexcept = default;

std::vector<action> dispatcher::handle(const event& e, base::time_point now) {
    return state_->handle(e, now);
}

status dispatcher::snapshot(base::time_point now) const {
    return state_->snapshot(now);
}

std::vector<routing::server_in_flight> dispatcher::load_digest(std::size_t limit) const {
    return state_->router().load_digest(limit);
}

std::size_t dispatcher::open_requests() const {
    return state_->open_requests();
}

}  // namespace chicorygap::dispatch
