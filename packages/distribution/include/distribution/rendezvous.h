/// @file
/// Choice of relays and of the push tree.
#pragma once

#include "base/id.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chicorygap::distribution {

/// Members that each member of the push tree sends to.
inline constexpr std::size_t push_fan_out = 3;

/// Relays of a zone, which watch the platform.
inline constexpr std::size_t relays_per_zone = 2;

/// @return the members by descending rendezvous hash for `topic`. Every daemon with the same members computes
/// the same order, and one member more or less does not change the order of the others.
std::vector<base::vm_id> rendezvous_order(const std::string& topic, std::vector<base::vm_id> members);

/// @param self must be one of `members`.
/// @return position of `self` among the relays; below `relays_per_zone` it is one.
std::size_t relay_rank(const base::vm_id& self, const std::vector<base::vm_id>& members);

/// @param root member that started the push.
/// @param self member that forwards it.
/// @return members that `self` sends to; empty when `root` is not a member.
std::vector<base::vm_id> push_children(const base::vm_id& root, const base::vm_id& self,
                                       const std::vector<base::vm_id>& members);

/// @return hash by which digests and fetches name a document.
std::uint64_t key_hash(const std::string& key);

}  // namespace chicorygap::distribution
