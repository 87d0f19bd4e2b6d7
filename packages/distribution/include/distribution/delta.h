/// @file
/// Binary difference between two versions of a text.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace chicorygap::distribution {

/// Replaces the bytes between a common prefix and a common suffix of a base text. A single edit of a document
/// with 2,000 workspaces takes a few hundred bytes instead of several hundred kilobytes.
struct text_delta {
    std::uint64_t base_version = 0;
    std::size_t prefix_size = 0;  ///< bytes of the base that the result starts with.
    std::size_t suffix_size = 0;  ///< bytes of the base that the result ends with.
    std::string replacement;      ///< bytes between prefix and suffix.
    std::uint64_t checksum = 0;   ///< XXH64 of the resulting text.

    bool operator==(const text_delta&) const = default;
};

/// @param base_version version of `base`.
/// @return the delta that turns `base` into `next`.
text_delta make_delta(std::uint64_t base_version, const std::string& base, const std::string& next);

/// @return the resulting text; empty when the sizes or the checksum do not match `base`.
std::optional<std::string> apply_delta(const std::string& base, const text_delta& d);

}  // namespace chicorygap::distribution
