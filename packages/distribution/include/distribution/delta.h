/// @file
/// Difference between two texts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace chicorygap::distribution {

/// Replacement of the middle of a base text. One edit of a document with 2,000 workspaces is then sent as a
/// few hundred bytes instead of several hundred kilobytes.
struct text_delta {
    std::uint64_t base_version = 0;
    std::size_t prefix_size = 0;  ///< bytes kept from the start of the base.
    std::size_t suffix_size = 0;  ///< bytes kept from the end of the base.
    std::string replacement;      ///< bytes between them.
    std::uint64_t checksum = 0;   ///< XXH64 of the resulting text.

    bool operator==(const text_delta&) const = default;
};

/// @param base_version version of `base`.
text_delta make_delta(std::uint64_t base_version, const std::string& base, const std::string& next);

/// @return the resulting text, or nothing when the delta does not fit the base.
std::optional<std::string> apply_delta(const std::string& base, const text_delta& d);

}  // namespace chicorygap::distribution
