/// @file
/// Responder on a POCO server response.
#pragma once

#include "backend/guarded_socket.h"
#include "chunk_format.h"
#include "front/call.h"
#include "front/responder.h"

#include <Poco/Net/HTTPServerResponse.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <ostream>
#include <string>

namespace chicorygap::front {

/// Writes one answer. The bytes of each call are sent before it returns.
class http_responder : public responder {
public:
    /// @param response head with version and keep-alive already set.
    /// @param guard socket of the connection.
    /// @param id sent to the caller as `X-Request-Id`.
    /// @param head_only true for HEAD, whose answer has no body.
    http_responder(Poco::Net::HTTPServerResponse& response, backend::guarded_socket& guard,
                   base::request_id id, bool head_only);

    /// Says that the request carries an idempotency key, so that an earlier try may have run.
    void set_idempotency_key_present() { idempotency_key_present_ = true; }

    /// Names the chat call that `token` and `end` answer.
    void set_chat(const chat_call& chat, std::uint64_t prompt_tokens, base::wall_time created);

    void head(const backend::answer_head& h) override;
    void body(std::string_view bytes) override;
    void finish() override;
    void token(const backend::token_delta& t) override;
    void end(const backend::stream_end& e) override;
    void fail(const refusal& r) override;
    [[nodiscard]] bool begun() const override { return out_ != nullptr; }

    /// Sends a whole JSON answer.
    void json(int status, const std::string& text, const std::string& type = "application/json");
    /// @return true once the answer has been sent completely, including a failure the caller can see.
    [[nodiscard]] bool finished() const { return finished_; }

private:
    [[nodiscard]] refusal truthful(const refusal& r) const;
    void begin(int status);
    void begin_stream();
    void write(std::string_view bytes);
    void problem(const refusal& r);
    void abort();

    Poco::Net::HTTPServerResponse& response_;
    backend::guarded_socket& guard_;
    base::request_id id_;
    bool head_only_;
    std::unique_ptr<chunk_format> format_;
    bool include_usage_ = false;
    std::uint64_t prompt_tokens_ = 0;
    std::uint64_t tokens_ = 0;
    std::optional<std::uint64_t> length_;
    std::uint64_t written_ = 0;
    std::ostream* out_ = nullptr;  // owned by the response
    bool stream_ = false;
    bool idempotency_key_present_ = false;
    bool finished_ = false;
};

}  // namespace chicorygap::front
