/// @file
/// What is sent to a backend server in one attempt.
#pragma once

#include "backend/header.h"
#include "base/id.h"
#include "base/tier.h"
#include "base/time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace chicorygap::backend {

/// Address of a backend server. The host is an IP address; no name is resolved.
struct endpoint {
    std::string host;
    std::uint16_t port = 0;
    bool operator==(const endpoint&) const = default;
    /// Order for use as a map key.
    bool operator<(const endpoint& other) const {
        return host != other.host ? host < other.host : port < other.port;
    }
};

/// How the answer is read.
enum class call_kind {
    chat,         ///< JSON answer, forwarded unchanged
    chat_stream,  ///< server-sent events ending in `data: [DONE]`
    plain,        ///< any method, body forwarded unchanged
};

/// Time limits of one attempt. Each must be positive.
struct time_limits {
    base::duration connect = std::chrono::milliseconds{500};
    /// From the sent request to the answer's head, and for streams to the first token.
    base::duration first_byte = std::chrono::seconds{30};
    /// Between two tokens of a stream. Comments do not count as tokens.
    base::duration token_gap = std::chrono::seconds{10};
    /// Between two reads or writes of any kind once the answer's head has arrived.
    base::duration idle = std::chrono::seconds{30};
};

/// One attempt of a request on one backend server.
struct backend_request {
    /// Sent as `X-Request-Id`. Must differ between attempts, so that the cancellation of one attempt cannot
    /// stop another one on the same server.
    base::request_id id;
    endpoint server;
    call_kind kind = call_kind::plain;
    std::string method = "POST";
    std::string target = "/v1/chat/completions";
    /// Caller's fields; those outside the allow-list are not sent.
    headers fields;
    /// Shared, because several attempts send the same body.
    std::shared_ptr<const std::string> body;
    base::tier priority;
    /// Tokens the caller already has; the server continues after them.
    std::uint64_t resume_tokens = 0;
    time_limits limits;
};

}  // namespace chicorygap::backend
