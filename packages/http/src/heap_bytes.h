/// @file
/// Memory of texts.
#pragma once

#include <cstddef>
#include <string>

namespace chicorygap::http {

/// @return memory of a text outside of its object, with what the allocator adds; short texts need none.
inline std::size_t heap_bytes(const std::string& s) {
    constexpr std::size_t allocation_overhead = 16;
    static const auto inner_capacity = std::string{}.capacity();
    return s.capacity() > inner_capacity ? s.capacity() + 1 + allocation_overhead : 0;
}

}  // namespace chicorygap::http
