/// @file
/// Reads the parts of a chat completion chunk that the router uses.
#pragma once

#include "backend/answer.h"

#include <memory>
#include <optional>
#include <string>

namespace chicorygap::backend {

/// Parsed `chat.completion.chunk`.
struct chat_chunk {
    std::string text;
    std::string delta_json;
    std::string finish_reason;
    std::optional<token_usage> usage;
    /// True when the chunk stands for a token.
    bool token = false;
    /// True when the server reported an error instead of a chunk.
    bool failed = false;
};

/// Reusable parser, one per stream. Reads the common case (text only) without building a JSON tree.
class chat_chunk_parser {
public:
    chat_chunk_parser();
    ~chat_chunk_parser();
    chat_chunk_parser(const chat_chunk_parser&) = delete;
    chat_chunk_parser& operator=(const chat_chunk_parser&) = delete;

    /// @param json one event's data.
    /// @return the chunk, or nothing if it is not a JSON object.
    std::optional<chat_chunk> parse(const std::string& json);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

/// @param json body of an unstreamed chat answer.
/// @return its usage (zeros if absent), or nothing if the body is not a complete JSON object.
std::optional<token_usage> parse_chat_answer(const std::string& json);

}  // namespace chicorygap::backend
