/// @file
/// Prompt parts that a server is expected to keep.
#pragma once

#include "scheduling/scheduled_request.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace chicorygap::scheduling {

/// Prompt parts that a server is expected to keep: the parts that this daemon sent it, least recently used
/// ones dropped first.
class prefix_cache {
public:
    /// @param tokens memory for parts.
    void set_capacity(std::int64_t tokens);

    /// The server has read a prompt with these parts.
    void insert(const std::vector<prefix_part>& parts);

    /// @return tokens of the leading parts that the server keeps.
    [[nodiscard]] std::int64_t cached_tokens(const std::vector<prefix_part>& parts) const;

    void clear();

private:
    void evict();

    std::int64_t capacity_ = 0;
    std::int64_t used_ = 0;
    std::list<prefix_part> recent_;  ///< most recently used first
    std::unordered_map<std::uint64_t, std::list<prefix_part>::iterator> by_id_;
};

}  // namespace chicorygap::scheduling
