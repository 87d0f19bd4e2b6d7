/// @file
/// Conversion between strings and Cap'n Proto text.
#pragma once

#include <capnp/blob.h>

#include <string>

namespace chicorygap::peer {

/// KJ converts a `std::string` by its `c_str()`, which would end the text at the first null byte.
/// @return a view of the whole string; the string must outlive it.
inline capnp::Text::Reader to_field(const std::string& s) {
    return {s.c_str(), s.size()};
}

/// @return the text with any null bytes inside it.
inline std::string text(capnp::Text::Reader t) {
    return {t.cStr(), t.size()};
}

}  // namespace chicorygap::peer
