/// @file
/// Faults of the stand-in.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace chicorygap::standin_backend {

enum class fault_kind {
    refuse,      ///< 503 with `X-Run-State: not_run`
    fail,        ///< 500
    delay,       ///< answers late
    drop_reply,  ///< executes, then closes the connection without an answer
    silent,      ///< neither answers nor closes
    restart,     ///< loses all running requests and refuses connections for the delay
    slow,        ///< multiplies the time per token by 10
    gap,         ///< pauses after `after_tokens` for the delay, forever if it is zero
    crash,       ///< resets the connection after `after_tokens`
    truncate,    ///< ends the answer after `after_tokens` as if it were complete, without its terminator
    wrong_id,    ///< echoes another request id
    no_done,     ///< sends a stream without `[DONE]` and ends the body regularly; drops an unstreamed reply
    clear,       ///< removes all faults
};

/// Applies to the next `count` requests whose path starts with `path`.
struct fault {
    fault_kind kind = fault_kind::clear;
    std::string path = "/";
    std::uint64_t count = 1;
    base::duration delay{};
    std::uint64_t after_tokens = 0;
};

/// @return the kind's name in POST /fault.
[[nodiscard]] std::string_view to_string(fault_kind k);

/// @throws base::error with `body_malformed` for an unknown name.
[[nodiscard]] fault_kind parse_fault_kind(std::string_view name);

}  // namespace chicorygap::standin_backend
