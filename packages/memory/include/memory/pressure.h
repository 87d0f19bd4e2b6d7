/// @file
/// How much of its limit an account holds.
#pragma once

#include <cstdint>
#include <string_view>

namespace chicorygap::memory {

/// How much of its limit an account holds, in ascending order.
enum class pressure : std::uint8_t {
    none,
    elevated,  ///< buffers are kept small
    critical,  ///< large bodies are refused
    exceeded,  ///< attempts are ended
};

/// @return name for log lines.
std::string_view to_string(pressure p) noexcept;

}  // namespace chicorygap::memory
