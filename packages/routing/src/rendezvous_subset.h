/// @file
/// Rendezvous hashing of servers to daemons.
#pragma once

#include "base/id.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chicorygap::routing {

/// @return rendezvous hash weight of a server for a daemon. It does not depend on the process or the compiler
/// version.
std::uint64_t rendezvous_weight(const base::vm_id& daemon, const base::backend_server_id& server);

/// Selects the subset of servers that a daemon uses.
/// @return positions of the `n` servers with the highest weight for the daemon, in ascending order. When one
/// server joins or leaves, at most one server of the subset changes.
std::vector<std::size_t> rendezvous_subset(const base::vm_id& daemon,
                                           const std::vector<base::backend_server_id>& servers,
                                           std::size_t n);

}  // namespace chicorygap::routing
