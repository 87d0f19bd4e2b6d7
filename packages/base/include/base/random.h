/// @file
/// Injected randomness.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

namespace chicorygap::base {

/// Source of uniformly distributed 64-bit numbers. Decision code never owns a generator.
using random_function = std::function<std::uint64_t()>;

/// @param random source of numbers.
/// @param n number of choices, at least 1.
/// @return a number in [0, n).
inline std::size_t pick(const random_function& random, std::size_t n) {
    return random() % n;
}

}  // namespace chicorygap::base
