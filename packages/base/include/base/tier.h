/// @file
/// Service tiers.
#pragma once

#include <compare>
#include <cstdint>

namespace chicorygap::base {

/// Priority of a class: level 0 is the highest, `tier_count - 1` the lowest.
/// Note that a *higher* tier has a *smaller* level; use `outranks` rather than operators.
struct tier {
    std::uint8_t level = 0;

    /// @return true when this tier has priority over `other`.
    [[nodiscard]] constexpr bool outranks(tier other) const noexcept { return level < other.level; }
    bool operator==(const tier&) const = default;
};

/// Number of service tiers.
inline constexpr std::uint8_t tier_count = 5;

}  // namespace chicorygap::base
