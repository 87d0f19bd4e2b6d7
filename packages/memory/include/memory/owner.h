/// @file
/// What the bytes of an account are held for.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace chicorygap::memory {

/// What the bytes are held for.
enum class owner : std::uint8_t {
    connection,     ///< objects of callers' connections
    caller_input,   ///< input of callers that is not processed
    request_head,   ///< heads of requests, from their first byte to the end of the request
    request_body,   ///< bodies of requests, from their head to the end of the request
    server_output,  ///< output that servers have not taken
    response,       ///< buffered responses, with their heads
    partial_event,  ///< events whose end is missing
    caller_output,  ///< output that callers have not taken
    kernel_input,   ///< receive buffers of the kernel while reading is paused
};

inline constexpr std::array all_owners{owner::connection,    owner::caller_input,  owner::request_head,
                                       owner::request_body,  owner::server_output, owner::response,
                                       owner::partial_event, owner::caller_output, owner::kernel_input};

/// @return name for log lines and metrics.
std::string_view to_string(owner o) noexcept;

}  // namespace chicorygap::memory
