/// @file
/// Hashes of prompt prefixes for cache affinity.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace chicorygap::gateway {

/// @param body body of a chat completion; equal conversations begin with equal bytes.
/// @return hashes of its first 1, 2, 4, ... KiB, shortest first.
std::vector<std::uint64_t> prefix_hashes(std::string_view body);

}  // namespace chicorygap::gateway
