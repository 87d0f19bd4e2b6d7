/// @file
/// Choice of the servers that one daemon uses.
#pragma once

#include "base/id.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chicorygap::routing {

/// @return rendezvous weight of a server for a daemon; stable over processes and releases of the compiler.
std::uint64_t rendezvous_weight(const base::vm_id& daemon, const base::backend_server_id& server);

/// @return positions of the `n` servers with the highest weight for the daemon, in ascending order. When one
/// server joins or goes, at most one position of the result changes.
std::vector<std::size_t> rendezvous_subset(const base::vm_id& daemon,
                                           const std::vector<base::backend_server_id>& servers,
                                           std::size_t n);

}  // namespace chicorygap::routing
