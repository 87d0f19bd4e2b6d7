/// @file
/// Shared by the fuzz targets. An exception that leaves a target counts as a failure of the parser.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace chicorygap::fuzz {

inline std::string to_text(const std::uint8_t* data, std::size_t size) {
    return {reinterpret_cast<const char*>(data), size};
}

/// Ends the run with a crash report when a promised property does not hold.
inline void check(bool holds, const char* property) {
    if (!holds) {
        std::fprintf(stderr, "property violated: %s\n", property);
        std::abort();
    }
}

}  // namespace chicorygap::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);
