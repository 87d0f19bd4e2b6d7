/// @file
/// Memory of the last requests on a connection.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <string_view>

namespace chicorygap::base {

/// Remembers the last requests on a connection by the hash of their ids.
///
/// A server may repeat an earlier response on a connection. The id of the request tells it from the response
/// to another request, but not from that to a later attempt of the same one, which therefore has to use
/// another connection.
///
/// Usage: `if (!ids.contains(id)) { ids.add(id); ... }`
class recent_ids {
public:
    void add(std::string_view id) {
        hashes_[next_] = std::hash<std::string_view>{}(id);
        next_ = (next_ + 1) % hashes_.size();
        count_ = std::min(count_ + 1, hashes_.size());
    }

    [[nodiscard]] bool contains(std::string_view id) const {
        const auto end = hashes_.begin() + static_cast<std::ptrdiff_t>(count_);
        return std::find(hashes_.begin(), end, std::hash<std::string_view>{}(id)) != end;
    }

private:
    /// Attempts of one request follow each other within a few others.
    static constexpr std::size_t capacity = 16;

    std::array<std::size_t, capacity> hashes_{};
    std::size_t next_ = 0;
    std::size_t count_ = 0;
};

}  // namespace chicorygap::base
