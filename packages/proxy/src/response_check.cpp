#include "response_check.h"

#include "proxy/header_codec.h"

#include <algorithm>
#include <string_view>

namespace chicorygap::proxy {

namespace {

constexpr int ok_status = 200;
constexpr int first_redirect_status = 300;
constexpr int first_client_error_status = 400;
constexpr int first_server_error_status = 500;
constexpr int max_status = 599;

/// @return true if the status promises a caller that its request has not run and will not run.
bool promises_not_run(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// @return true if the body, or its transfer, is encoded in a way that the caller did not ask for.
bool is_encoded(const http::response_head& head) {
    const auto& fields = head.headers.fields();
    return std::any_of(fields.begin(), fields.end(), [](const auto& f) {
        return http::equal_names(f.name, "Content-Encoding") ||
               (http::equal_names(f.name, "Transfer-Encoding") && !http::equal_names(f.value, "chunked"));
    });
}

}  // namespace

bool is_event_stream(const http::response_head& head) {
    const auto* type = head.headers.find("Content-Type");
    if (head.status != ok_status || type == nullptr) {
        return false;
    }
    const auto name = std::string_view{*type}.substr(0, type->find(';'));
    return http::equal_names(name.substr(0, name.find_last_not_of(' ') + 1), "text/event-stream");
}

const char* find_head_fault(const http::response_head& head, const response_metadata& metadata,
                            const expected_response& expected) {
    if (head.status < ok_status || head.status > max_status) {
        return "unknown_status";
    }
    if (metadata.not_run || metadata.wrong_server) {
        if (metadata.request_id.empty()) {
            return "refusal_without_id";
        }
        return head.status < first_client_error_status ? "contradictory_refusal" : nullptr;
    }
    if (promises_not_run(head.status)) {
        return "unmarked_refusal";
    }
    if (head.status >= first_server_error_status) {
        return nullptr;
    }
    if (!metadata.signed_by_server) {
        return "unsigned";
    }
    if (metadata.request_id.empty()) {
        return "missing_id";
    }
    if (is_encoded(head)) {
        return "encoded";
    }
    if (head.status >= first_redirect_status || expected.head_request) {
        return nullptr;
    }
    if (is_event_stream(head) != expected.stream) {
        return "wrong_kind";
    }
    return expected.stream && head.length ? "stream_with_length" : nullptr;
}

}  // namespace chicorygap::proxy
