#include "routing/router.h"

#include "router_impl.h"

#include <utility>

namespace chicorygap::routing {

router::router(options o, base::random_function random)
    : impl_{std::make_unique<impl>(std::move(o), std::move(random))} {}

router::~router() = default;
router::router(router&&) noexcept = default;
router& router::operator=(router&&) noexcept = default;

void router::handle(const event& e, base::time_point now) {
    std::visit([this, now](const auto& alternative) { impl_->on(alternative, now); }, e);
}

std::optional<selected_server> router::select_server(const route_request& r, base::time_point now) {
    return impl_->select_server(r, now);
}

int router::free_slots(base::time_point now) const {
    return impl_->free_slots(now);
}

std::vector<server_in_flight> router::load_digest(std::size_t limit) const {
    return impl_->load_digest(limit);
}

std::vector<server_status> router::snapshot(base::time_point now) const {
    return impl_->snapshot(now);
}

}  // namespace chicorygap::routing
