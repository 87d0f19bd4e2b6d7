/// @file
/// Header codec for tests.
#pragma once

#include "proxy/header_codec.h"

#include <chrono>
#include <cstdint>
#include <sstream>
#include <string>

namespace chicorygap::proxy {

/// Header codec for tests. Requests use the fields Id, Key, Last and Parts (ids in decimal); responses use
/// Id, Unsigned, Not-Run, Limit (requests per second), Wait (seconds), Cold (milliseconds), Leaving and
/// status 421.
class test_header_codec final : public header_codec {
public:
    [[nodiscard]] request_metadata decode(const http::request_head& head) const override {
        request_metadata r;
        r.id = base::request_id{text(head.headers, "Id")};
        r.host = text(head.headers, "Host");
        r.key = text(head.headers, "Key");
        if (const auto* last = head.headers.find("Last")) {
            r.last_event_id = *last;
        }
        if (const auto* parts = head.headers.find("Parts")) {
            r.generation.emplace();
            std::istringstream in{*parts};
            for (std::uint64_t id = 0; in >> id; in.ignore()) {
                r.generation->parts.push_back({id, 10});
            }
        }
        return r;
    }

    [[nodiscard]] http::request_head encode_server_request(
        const http::request_head& head, const server_request_metadata& metadata) const override {
        http::request_head out{.method = head.method, .target = head.target};
        out.headers.add("Id", text(head.headers, "Id"));
        out.headers.add("Workspace", metadata.workspace.str());
        out.headers.add("Content-Length", std::to_string(metadata.body_bytes));
        if (metadata.last_event_id) {
            out.headers.add("Last", *metadata.last_event_id);
        }
        return out;
    }

    [[nodiscard]] response_metadata decode(const http::response_head& head) const override {
        response_metadata r{.request_id = text(head.headers, "Id"),
                            .signed_by_server = head.headers.find("Unsigned") == nullptr,
                            .not_run = head.headers.find("Not-Run") != nullptr,
                            .wrong_server = head.status == 421};
        if (const auto* limit = head.headers.find("Limit")) {
            r.signals.rate_limit = std::stod(*limit);
        }
        if (const auto* wait = head.headers.find("Wait")) {
            r.signals.retry_after = std::chrono::seconds{std::stoi(*wait)};
        }
        if (const auto* cold = head.headers.find("Cold")) {
            r.signals.cold = std::chrono::milliseconds{std::stoi(*cold)};
        }
        r.signals.leaving = head.headers.find("Leaving") != nullptr;
        return r;
    }

    [[nodiscard]] http::response_head error_response(
        int status, const base::request_id& id, std::optional<base::duration> retry_after) const override {
        http::response_head out{.status = status};
        out.headers.add("Id", id.str());
        if (retry_after) {
            out.headers.add("Retry-After", "1");
        }
        return out;
    }

private:
    static std::string text(const http::header_list& h, const char* name) {
        const auto* value = h.find(name);
        return value == nullptr ? std::string{} : *value;
    }
};

}  // namespace chicorygap::proxy
