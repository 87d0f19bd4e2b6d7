/// @file
/// Model of the prompt parts in a server's KV cache.
#pragma once

#include "scheduling/scheduled_request.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace chicorygap::scheduling {

/// Prompt parts that are expected in a server's KV cache: those that this daemon sent to the server, evicted
/// in least recently used order.
class prefix_cache {
public:
    /// @param tokens capacity of the server's KV cache.
    void set_capacity(std::int64_t tokens);

    /// Records that the server processed a prompt with these parts.
    void insert(const std::vector<prefix_part>& parts);

    /// @return tokens of the leading parts that are expected in the cache.
    [[nodiscard]] std::int64_t cached_tokens(const std::vector<prefix_part>& parts) const;

    void clear();

private:
    void evict();

    std::int64_t capacity_tokens_ = 0;
    std::int64_t used_tokens_ = 0;
    std::list<prefix_part> lru_;  ///< most recently used part first
    std::unordered_map<std::uint64_t, std::list<prefix_part>::iterator> by_id_;
};

}  // namespace chicorygap::scheduling
