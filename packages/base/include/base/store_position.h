/// @file
/// Position in the history of the platform's store.
#pragma once

#include <compare>
#include <cstdint>

namespace chicorygap::base {

/// Position in the history of the platform's store.
///
/// Concept: the store may return from an older copy of itself. It then loses changes and gives their
/// revisions out again, and its era rises. Revisions of different eras say nothing about each other, so that
/// positions are ordered by era first.
struct store_position {
    std::uint64_t era = 0;  ///< 0 if the store tells none
    std::uint64_t revision = 0;

    // The linter takes the comparison with 0 that the compiler generates for one with a null pointer.
    auto operator<=>(const store_position&) const = default;  // NOLINT(modernize-use-nullptr)
};

}  // namespace chicorygap::base
