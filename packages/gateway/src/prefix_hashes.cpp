#include "prefix_hashes.h"

#include <xxhash.h>

namespace chicorygap::gateway {

namespace {

constexpr std::size_t shortest_prefix = 1024;  // bytes; shorter prompts gain little from a cached prefix
constexpr std::size_t longest_prefix = std::size_t{64} * 1024;  // bytes

}  // namespace

std::vector<std::uint64_t> prefix_hashes(std::string_view body) {
    std::vector<std::uint64_t> out;
    for (std::size_t n = shortest_prefix; n <= body.size() && n <= longest_prefix; n *= 2) {
        out.push_back(XXH64(body.data(), n, 0));
    }
    return out;
}

}  // namespace chicorygap::gateway
