/// @file
/// Interface through which the executor answers a caller.
#pragma once

#include "backend/answer.h"
#include "front/refusal.h"

#include <string_view>

namespace chicorygap::front {

/// Writes one answer to a caller. Used on the thread of `hooks::execute` only.
///
/// Chat stream: `token`* then `end`, or `fail` at any time. Any other answer: `head`, `body`*, `finish`, or
/// `fail`. Writes throw `base::error` with `caller_gone` once the caller's connection has failed.
class responder {
public:
    virtual ~responder() = default;

    /// Starts an answer that is not a token stream.
    virtual void head(const backend::answer_head& h) = 0;
    /// Sends the next bytes of the body.
    virtual void body(std::string_view bytes) = 0;
    /// Ends the body.
    virtual void finish() = 0;

    /// Sends one token event; the first one also sends the head of the stream.
    virtual void token(const backend::token_delta& t) = 0;
    /// Sends the final events of a stream and `[DONE]`.
    virtual void end(const backend::stream_end& e) = 0;

    /// Before the answer has begun: sends problem details. In a stream: sends an `error` event and no
    /// `[DONE]`. In any other body: resets the connection, so that the caller sees that the answer is
    /// incomplete.
    virtual void fail(const refusal& r) = 0;

    /// @return true once the head has been sent.
    [[nodiscard]] virtual bool begun() const = 0;

protected:
    responder() = default;
    responder(const responder&) = default;
    responder& operator=(const responder&) = default;
};

}  // namespace chicorygap::front
