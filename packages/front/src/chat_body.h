/// @file
/// Checks the body of a chat completion request.
#pragma once

#include "front/call.h"
#include "front/refusal.h"

#include <cstddef>
#include <string>
#include <variant>

namespace chicorygap::front {

/// @param json body.
/// @param depth deepest permitted nesting.
/// @return the fields the router reads, or a refusal with `body_malformed`.
std::variant<chat_call, refusal> parse_chat_body(const std::string& json, std::size_t depth);

}  // namespace chicorygap::front
