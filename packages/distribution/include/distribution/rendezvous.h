/// @file
/// Selection of relays and of push trees by rendezvous hashing.
#pragma once

#include "base/id.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chicorygap::distribution {

/// Maximum number of children of a member in a push tree.
inline constexpr std::size_t push_fan_out = 3;

/// Number of daemons per zone that watch the platform.
inline constexpr std::size_t relays_per_zone = 2;

/// @return the members by descending rendezvous hash for `topic`. Every daemon with the same members computes
/// the same order, and adding or removing a member keeps the order of the others.
std::vector<base::vm_id> rendezvous_order(const std::string& topic, std::vector<base::vm_id> members);

/// @param self must be one of `members`.
/// @return rank of `self` in the selection of relays; a member is a relay if its rank is below
/// `relays_per_zone`.
std::size_t relay_rank(const base::vm_id& self, const std::vector<base::vm_id>& members);

/// @param root member that starts the push.
/// @param self member that forwards the push.
/// @return children of `self` in the push tree; empty when `root` or `self` is not a member.
std::vector<base::vm_id> push_children(const base::vm_id& root, const base::vm_id& self,
                                       const std::vector<base::vm_id>& members);

/// @return hash that identifies a document in digests and fetches.
std::uint64_t key_hash(const std::string& key);

}  // namespace chicorygap::distribution
