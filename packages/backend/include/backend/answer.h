/// @file
/// Parts of an answer, in the order in which they arrive.
#pragma once

#include "backend/header.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace chicorygap::backend {

/// Status and forwardable header fields of an answer.
struct answer_head {
    int status = 200;
    headers fields;
    /// Length of the body if the server stated one.
    std::optional<std::uint64_t> length;
};

/// One token event of a chat stream.
struct token_delta {
    std::string text;
    /// The `delta` object as JSON if it holds more than role and content (for example tool calls), else
    /// empty.
    std::string delta_json;
    /// Tokens this event counts for.
    std::uint64_t tokens = 1;
};

/// Token counts as reported by the engine.
struct token_usage {
    std::uint64_t prompt_tokens = 0;
    std::uint64_t completion_tokens = 0;
    bool operator==(const token_usage&) const = default;
};

/// End of a complete chat stream.
struct stream_end {
    std::string finish_reason = "stop";
    std::optional<token_usage> usage;
};

/// Receives the answer on the calling thread. Unset members are skipped. An exception thrown by a member
/// cancels the attempt: with its code if it is a `base::error`, else as `caller_gone`.
///
/// Order: `on_head`, then for a chat stream with status 200 `on_token`* and `on_end`, otherwise `on_body`*.
/// No member is called before the `X-Request-Id` echo has been checked.
struct answer_sink {
    std::function<void(const answer_head&)> on_head;
    std::function<void(const token_delta&)> on_token;
    std::function<void(const stream_end&)> on_end;
    std::function<void(std::string_view)> on_body;
};

}  // namespace chicorygap::backend
