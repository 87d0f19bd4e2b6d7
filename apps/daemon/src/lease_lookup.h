/// @file
/// Lookup of the lease holder of a role.
#pragma once

#include "lease/lease_record.h"
#include "ports/object_store.h"

#include <optional>
#include <string>

namespace chicorygap::daemon_app {

/// Reads the lease object of a role.
/// @param role name of the role, for example "once-7".
/// @return the record, or nothing if there is no valid record.
/// @throws base::error with `platform_unavailable` if the platform cannot be reached.
std::optional<lease::lease_record> read_lease(ports::object_store& store, const std::string& role);

/// @return peer address of the lease holder; empty if the role is free or has no record.
std::string holder_address(const std::optional<lease::lease_record>& r);

}  // namespace chicorygap::daemon_app
