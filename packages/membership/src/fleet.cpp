#include "membership/fleet.h"

#include "fleet_impl.h"

#include <utility>

namespace chicorygap::membership {

fleet::fleet(fleet_options o, base::random_function random, base::time_point now)
    : impl_{std::make_unique<impl>(std::move(o), std::move(random), now)} {}

fleet::~fleet() = default;
fleet::fleet(fleet&&) noexcept = default;
fleet& fleet::operator=(fleet&&) noexcept = default;

std::vector<action> fleet::handle(const event& e, base::time_point now) {
    return impl_->handle(e, now);
}

const member& fleet::self() const {
    return impl_->self();
}

std::vector<member> fleet::live_members() const {
    return impl_->live_members();
}

std::vector<member> fleet::contacts() const {
    return impl_->contacts();
}

std::vector<base::zone_id> fleet::reachable_zones(base::time_point now) const {
    return impl_->reachable_zones(now);
}

std::size_t fleet::fleet_size() const {
    return impl_->fleet_size();
}

std::uint8_t fleet::pressure(const base::service_id& service, base::time_point now) const {
    return impl_->pressure(service, now);
}

}  // namespace chicorygap::membership
