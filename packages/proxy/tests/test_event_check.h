/// @file
/// Event check for tests.
#pragma once

#include "proxy/event_check.h"

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chicorygap::proxy {

/// Takes comments, then `id: N` and one line of data, for an event; ids count from 1.
inline event_fault check_test_event(std::string_view block, const std::optional<std::string>& last_id) {
    while (block.starts_with(':') || block.starts_with('\n')) {
        block.remove_prefix(block.find('\n') + 1);
    }
    if (!block.starts_with("id: ")) {
        return event_fault::unknown_field;
    }
    block.remove_prefix(4);
    std::uint64_t id = 0;
    const auto [end, ec] = std::from_chars(block.data(), block.data() + block.size(), id);
    block.remove_prefix(static_cast<std::size_t>(end - block.data()));
    if (ec != std::errc{} || !block.starts_with('\n')) {
        return event_fault::invalid_id;
    }
    if (!block.starts_with("\ndata: ") || block.find('\n', 1) + 2 != block.size()) {
        return event_fault::without_data;
    }
    std::uint64_t last = 0;
    if (last_id) {
        const auto [rest, error] = std::from_chars(last_id->data(), last_id->data() + last_id->size(), last);
        if (error != std::errc{} || rest != last_id->data() + last_id->size()) {
            return event_fault::none;
        }
    }
    return id == last + 1 ? event_fault::none : event_fault::unexpected_id;
}

}  // namespace chicorygap::proxy
