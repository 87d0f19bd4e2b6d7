/// @file
/// Windows over which burn rates are computed.
#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace chicorygap::burn {

/// One window, kept as a ring of equal buckets.
struct window {
    std::string_view name;
    base::duration length{};
};

inline constexpr std::array windows{
    window{"5m", std::chrono::minutes{5}},
    window{"1h", std::chrono::hours{1}},
    window{"6h", std::chrono::hours{6}},
    window{"3d", std::chrono::hours{72}},
};
inline constexpr std::size_t window_count = windows.size();

/// Positions in `windows`.
inline constexpr std::size_t window_5m = 0;
inline constexpr std::size_t window_1h = 1;
inline constexpr std::size_t window_6h = 2;
inline constexpr std::size_t window_3d = 3;

/// Buckets per window of a class; these are the points of a plot.
inline constexpr std::size_t class_buckets = 30;
/// Buckets per window of a workspace. With 2,000 workspaces and 5 classes they take 2 MB per daemon.
inline constexpr std::size_t workspace_buckets = 6;

/// Number of requests, and how many of them met their target.
struct counts {
    std::uint32_t total = 0;
    std::uint32_t good = 0;

    counts& operator+=(const counts& o) {
        total += o.total;
        good += o.good;
        return *this;
    }
    bool operator==(const counts&) const = default;

    /// @return share of requests that met their target; 1 without requests.
    [[nodiscard]] double attainment() const { return total == 0 ? 1.0 : double(good) / double(total); }
};

}  // namespace chicorygap::burn
