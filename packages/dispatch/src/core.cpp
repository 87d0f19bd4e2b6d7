#include "dispatch/core.h"

#include "core_state.h"

#include <utility>

namespace chicorygap::dispatch {

core::core(options o, base::random_function random)
    : state_{std::make_unique<state>(std::move(o), std::move(random))} {}
core::~core() = default;
core::core(core&&) noexcept = default;
core& core::operator=(core&&) noexcept = default;

std::vector<action> core::handle(const event& e, base::time_point now) {
    return state_->handle(e, now);
}

status core::snapshot(base::time_point now) const {
    return state_->snapshot(now);
}

std::vector<routing::server_in_flight> core::load_digest(std::size_t limit) const {
    return state_->router().load_digest(limit);
}

std::size_t core::open_requests() const {
    return state_->open_requests();
}

}  // namespace chicorygap::dispatch
