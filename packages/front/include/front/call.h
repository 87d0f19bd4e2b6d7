/// @file
/// A checked request of a caller.
#pragma once

#include "backend/header.h"
#include "base/id.h"
#include "base/tier.h"
#include "base/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace chicorygap::front {

/// Permission to run a request, derived from the key alone.
struct grant {
    base::workspace_id workspace;
    base::service_id service;
    base::class_id request_class;
    base::tier tier;
    /// For the executor's own use, for example the matched route.
    std::shared_ptr<const void> context;
};

/// Fields of a chat completion that the router reads.
struct chat_call {
    std::string model;
    bool stream = false;
    bool include_usage = false;
    std::optional<std::uint64_t> max_tokens;
};

/// A request that passed all checks. It holds no key, only its digest.
struct call {
    base::request_id id;
    base::key_digest key;
    grant permission;
    std::string method;
    /// Path with query, without credentials.
    std::string target;
    /// Path only.
    std::string path;
    /// Fields that may be forwarded to a backend server.
    backend::headers fields;
    /// Unchanged body; shared with the attempts.
    std::shared_ptr<const std::string> body;
    std::optional<std::string> idempotency_key;
    /// Set for POST /v1/chat/completions.
    std::optional<chat_call> chat;
    /// Body bytes / 4.
    std::uint64_t estimated_prompt_tokens = 0;
    base::time_point received;
};

}  // namespace chicorygap::front
