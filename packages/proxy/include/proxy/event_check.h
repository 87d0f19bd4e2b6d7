/// @file
/// Check of the events in a server's stream.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace chicorygap::proxy {

/// Why a block of lines is not the event that is due.
enum class event_fault : std::uint8_t {
    none,
    too_long,       ///< more bytes than an event may have before its end
    unknown_field,  ///< a line that is no part of an event
    invalid_id,     ///< no id, more than one, or one of another form
    unexpected_id,  ///< id of another event than the one that is due
    without_data,
};

/// @return name for log lines and failure causes.
[[nodiscard]] std::string_view to_string(event_fault f) noexcept;

/// Decides whether a block of lines is the event that is due. Which blocks are events is a matter of the
/// servers' protocol.
/// @param block whole lines up to the empty line that ends the event, with the comments before it.
/// @param last_id id of the event before; absent at the beginning of a stream.
/// @return `event_fault::none` for the event that is due.
using event_check =
    std::function<event_fault(std::string_view block, const std::optional<std::string>& last_id)>;

}  // namespace chicorygap::proxy
