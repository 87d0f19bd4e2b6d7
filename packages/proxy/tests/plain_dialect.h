/// @file
/// Header fields of tests.
#pragma once

#include "proxy/dialect.h"

#include <string>

namespace chicorygap::proxy {

/// Header fields of tests: Id, Key, Last; servers answer with Id, Not-Run and status 421.
class plain_dialect final : public dialect {
public:
    [[nodiscard]] caller_request decode(const http::request_head& head) const override {
        caller_request r;
        r.id = base::request_id{text(head.headers, "Id")};
        r.host = text(head.headers, "Host");
        r.key = text(head.headers, "Key");
        return r;
    }

    [[nodiscard]] http::request_head to_server(const http::request_head& head,
                                               const server_terms& terms) const override {
        http::request_head out{.method = head.method, .target = head.target};
        out.headers.add("Id", text(head.headers, "Id"));
        out.headers.add("Workspace", terms.workspace.str());
        out.headers.add("Content-Length", std::to_string(terms.body_bytes));
        if (terms.last_event) {
            out.headers.add("Last", *terms.last_event);
        }
        return out;
    }

    [[nodiscard]] server_answer decode(const http::response_head& head) const override {
        return {.request_id = text(head.headers, "Id"),
                .not_run = head.headers.find("Not-Run") != nullptr,
                .wrong_server = head.status == 421};
    }

    [[nodiscard]] http::response_head failure(int status, const base::request_id& id,
                                              std::optional<base::duration> retry_after) const override {
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
