#include "../src/response_check.h"

#include "test_header_codec.h"

#include <gtest/gtest.h>
#include <initializer_list>

#include <optional>
#include <string>

namespace chicorygap::proxy {
namespace {

const http::header_field typed{"Content-Type", "text/event-stream"};
const http::header_field id{"Id", "1"};

std::string fault(int status, std::initializer_list<http::header_field> fields, expected_response expected,
                  std::optional<std::uint64_t> length = std::nullopt) {
    http::response_head h{.status = status, .headers = {}, .length = length};
    for (const auto& f : fields) {
        h.headers.add(f.name, f.value);
    }
    const auto* cause = find_head_fault(h, test_header_codec{}.decode(h), expected);
    return cause == nullptr ? "" : cause;
}

constexpr expected_response plain{};
constexpr expected_response stream{.stream = true, .head_request = false};
constexpr expected_response head_of_stream{.stream = true, .head_request = true};

// Guards against a failed attempt for a response that a sound server sends.
TEST(response_check, heads_of_sound_servers_are_taken) {
    EXPECT_EQ(fault(200, {id, {"Content-Type", "application/octet-stream"}}, plain, 12), "");
    EXPECT_EQ(fault(200, {id, {"Transfer-Encoding", "chunked"}}, plain), "");
    EXPECT_EQ(fault(204, {id}, plain), "");
    EXPECT_EQ(fault(404, {id}, plain, 5), "");
    EXPECT_EQ(fault(404, {id}, stream, 5), "");
    EXPECT_EQ(fault(302, {id}, plain, 0), "");
    EXPECT_EQ(fault(200, {id, typed, {"Transfer-Encoding", "chunked"}}, stream), "");
    EXPECT_EQ(fault(200, {id, typed, {"Transfer-Encoding", "Chunked"}}, stream), "");
    EXPECT_EQ(fault(200, {id, typed}, stream), "");
    EXPECT_EQ(fault(200, {id, {"content-type", "Text/Event-Stream ; charset=utf-8"}}, stream), "");
    EXPECT_EQ(fault(200, {id, {"Content-Type", "text/plain"}}, head_of_stream, 9), "");
    EXPECT_EQ(fault(200, {id, typed}, head_of_stream), "");
}

// Errors and refusals bear a signature or none.
TEST(response_check, errors_and_refusals_need_no_signature) {
    for (const auto& expected : {plain, stream, head_of_stream}) {
        EXPECT_EQ(fault(500, {id, {"Unsigned", "1"}}, expected, 0), "");
        EXPECT_EQ(fault(504, {{"Unsigned", "1"}}, expected, 0), "");
        for (const int status : {400, 429, 503}) {
            EXPECT_EQ(fault(status, {id, {"Unsigned", "1"}, {"Not-Run", "1"}}, expected, 0), "");
            EXPECT_EQ(fault(status, {{"Not-Run", "1"}}, expected, 0), "refusal_without_id");
        }
        EXPECT_EQ(fault(421, {id, {"Unsigned", "1"}}, expected, 0), "");
        EXPECT_EQ(fault(421, {}, expected, 0), "refusal_without_id");
    }
}

TEST(response_check, heads_that_nobody_made_are_named) {
    for (const int status : {200, 204, 206, 301, 400, 404, 409}) {
        EXPECT_EQ(fault(status, {id, {"Unsigned", "1"}}, plain), "unsigned") << status;
        EXPECT_EQ(fault(status, {}, plain), "missing_id") << status;
        EXPECT_EQ(fault(status, {id, {"Content-Encoding", "gzip"}}, plain), "encoded") << status;
        EXPECT_EQ(fault(status, {id, {"Transfer-Encoding", "gzip, chunked"}}, plain), "encoded") << status;
    }
    EXPECT_EQ(fault(200, {typed, {"Unsigned", "1"}}, head_of_stream), "unsigned");
    for (const int status : {0, 7, 99, 101, 199, 600, 999}) {
        EXPECT_EQ(fault(status, {id}, plain), "unknown_status") << status;
        EXPECT_EQ(fault(status, {id, {"Not-Run", "1"}}, plain), "unknown_status") << status;
    }
    for (const int status : {200, 204, 304}) {
        EXPECT_EQ(fault(status, {id, {"Not-Run", "1"}}, plain), "contradictory_refusal") << status;
    }
    for (const int status : {408, 429, 503}) {
        EXPECT_EQ(fault(status, {id}, plain), "unmarked_refusal") << status;
        EXPECT_EQ(fault(status, {id}, stream), "unmarked_refusal") << status;
    }
    EXPECT_EQ(fault(200, {id, typed}, plain), "wrong_kind");
    EXPECT_EQ(fault(200, {id}, stream), "wrong_kind");
    EXPECT_EQ(fault(201, {id, typed}, stream), "wrong_kind");
    EXPECT_EQ(fault(200, {id, {"Content-Type", "text/event-streams"}}, stream), "wrong_kind");
    EXPECT_EQ(fault(200, {id, {"Content-Type", ""}}, stream), "wrong_kind");
    EXPECT_EQ(fault(200, {id, typed}, stream, 0), "stream_with_length");
}

}  // namespace
}  // namespace chicorygap::proxy
