#include "membership/membership_protocol.h"

#include "membership_protocol_impl.h"

#include <utility>

namespace chicorygap::membership {

membership_protocol::membership_protocol(membership_options o, base::random_function random,
                                         base::time_point now)
    : impl_{std::make_unique<impl>(std::move(o), std::move(random), now)} {}

membership_protocol::~membership_protocol() = default;
membership_protocol::membership_protocol(membership_protocol&&) noexcept = default;
membership_protocol& membership_protocol::operator=(membership_protocol&&) noexcept = default;

std::vector<action> membership_protocol::handle(const event& e, base::time_point now) {
    return impl_->handle(e, now);
}

const member& membership_protocol::self() const {
    return impl_->self();
}

std::vector<member> membership_protocol::live_members() const {
    return impl_->live_members();
}

std::vector<member> membership_protocol::contacts() const {
    return impl_->contacts();
}

std::vector<base::zone_id> membership_protocol::reachable_zones(base::time_point now) const {
    return impl_->reachable_zones(now);
}

std::size_t membership_protocol::fleet_size() const {
    return impl_->fleet_size();
}

std::uint8_t membership_protocol::lowest_admitted_tier(const base::service_id& service,
                                                       base::time_point now) const {
    return impl_->lowest_admitted_tier(service, now);
}

}  // namespace chicorygap::membership
