#include "lease_lookup.h"

#include "base/time.h"

namespace chicorygap::daemon_app {

namespace {

constexpr base::duration lookup_timeout = std::chrono::milliseconds{500};

}  // namespace

std::optional<lease::lease_record> read_lease(ports::object_store& store, const std::string& role) {
    const auto object = store.get("lease/" + role, lookup_timeout);
    return object ? lease::decode_lease(object->value) : std::nullopt;
}

std::string holder_address(const std::optional<lease::lease_record>& r) {
    return r && !r->free ? r->holder : std::string{};
}

}  // namespace chicorygap::daemon_app
