/// @file
/// Helpers of the backend tests.
#pragma once

#include "backend/http_backend_client.h"
#include "standin_backend/server.h"

#include <memory>
#include <string>

namespace chicorygap::backend {

/// Collects an answer.
struct recorder {
    int heads = 0;
    std::string text;
    std::string body;
    std::string deltas;
    int ends = 0;

    answer_sink sink() {
        answer_sink s;
        s.on_head = [this](const answer_head&) { ++heads; };
        s.on_token = [this](const token_delta& t) {
            text += t.text;
            deltas += t.delta_json;
        };
        s.on_end = [this](const stream_end&) { ++ends; };
        s.on_body = [this](std::string_view b) { body += b; };
        return s;
    }
    [[nodiscard]] bool untouched() const { return heads == 0 && text.empty() && body.empty() && ends == 0; }
};

inline backend_request make_request(std::uint16_t port, call_kind kind, std::uint64_t tokens = 8) {
    backend_request r;
    r.id = base::request_id{"r1"};
    r.server = {"127.0.0.1", port};
    r.kind = kind;
    const std::string stream = kind == call_kind::chat_stream ? R"(,"stream":true)" : "";
    r.body =
        std::make_shared<const std::string>(R"({"model":"m","messages":[{"role":"user","content":"hi"}],)"
                                            R"("max_tokens":)" +
                                            std::to_string(tokens) + stream + "}");
    r.fields = {{"Content-Type", "application/json"}};
    return r;
}

inline backend_request make_plain(std::uint16_t port, const std::string& method, const std::string& target,
                                  const std::string& body = {}) {
    auto r = make_request(port, call_kind::plain);
    r.method = method;
    r.target = target;
    r.body = std::make_shared<const std::string>(body);
    return r;
}

}  // namespace chicorygap::backend
