/// @file
/// Small helpers for reading answers.
#pragma once

#include <array>
#include <cstdint>
#include <istream>
#include <optional>
#include <string_view>

namespace chicorygap::backend {

using read_buffer = std::array<char, 4096>;

/// Reads what is available, waiting only if nothing is. Goes past the `std::istream`, which would swallow
/// exceptions.
/// @return the bytes, empty at the end of the body.
std::string_view read_some(std::istream& in, read_buffer& buffer);

/// @return the decimal number, or nothing if the text is anything else.
std::optional<std::uint32_t> parse_number(std::string_view text);

/// @return true when the value holds no control characters, which could start another header field.
bool header_value_valid(std::string_view value);

}  // namespace chicorygap::backend
