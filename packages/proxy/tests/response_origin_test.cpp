// Servers whose response has a head that no sound server sends for the request.
#include "router_fixture.h"

#include <vector>

namespace chicorygap::proxy {
namespace {

constexpr const char* spoiled_text = "spoiled";
constexpr const char* typed = "Content-Type: text/event-stream\r\n";

/// A head that is no response to the request, and the cause that the log gives.
struct spoiled_head {
    const char* name;
    std::string start;  ///< status line and fields; the test adds framing and body
    const char* cause;
    bool with_length = false;  ///< the body of a stream has a length
};

std::ostream& operator<<(std::ostream& os, const spoiled_head& h) {
    return os << h.name;
}

std::vector<spoiled_head> plain_heads() {
    return {{"unsigned", "200 X\r\nId: 1\r\nUnsigned: 1\r\n", "unsigned"},
            {"without_id", "200 X\r\n", "missing_id"},
            {"event_stream", std::string{"200 X\r\nId: 1\r\n"} + typed, "wrong_kind"},
            {"encoded", "200 X\r\nId: 1\r\nContent-Encoding: gzip\r\n", "encoded"},
            {"unsigned_client_error", "404 X\r\nId: 1\r\nUnsigned: 1\r\n", "unsigned"},
            {"unsigned_redirect", "302 X\r\nId: 1\r\nUnsigned: 1\r\n", "unsigned"},
            {"client_error_without_id", "404 X\r\n", "missing_id"},
            {"status_of_no_server", "600 X\r\nId: 1\r\n", "unknown_status"},
            {"status_below_100", "099 X\r\nId: 1\r\n", "unknown_status"},
            {"success_that_was_not_run", "200 X\r\nId: 1\r\nNot-Run: 1\r\n", "contradictory_refusal"},
            {"busy_without_the_mark", "503 X\r\nId: 1\r\n", "unmarked_refusal"},
            {"too_many_without_the_mark", "429 X\r\nId: 1\r\n", "unmarked_refusal"}};
}

std::vector<spoiled_head> stream_heads() {
    return {{"unsigned", std::string{"200 X\r\nId: 1\r\nUnsigned: 1\r\n"} + typed, "unsigned"},
            {"without_id", std::string{"200 X\r\n"} + typed, "missing_id"},
            {"encoded", std::string{"200 X\r\nId: 1\r\nContent-Encoding: gzip\r\n"} + typed, "encoded"},
            {"with_length", std::string{"200 X\r\nId: 1\r\n"} + typed, "stream_with_length", true},
            {"plain", "200 X\r\nId: 1\r\nContent-Type: text/plain\r\n", "wrong_kind"},
            {"similar_type", "200 X\r\nId: 1\r\nContent-Type: text/event-streams\r\n", "wrong_kind"},
            {"untyped", "200 X\r\nId: 1\r\n", "wrong_kind"},
            {"other_success", std::string{"201 X\r\nId: 1\r\n"} + typed, "wrong_kind"},
            {"unsigned_client_error", "404 X\r\nId: 1\r\nUnsigned: 1\r\n", "unsigned"}};
}

std::string with_length(const std::string& start, const std::string& body) {
    return "HTTP/1.1 " + start + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct response_origin_test : request_router_test, testing::WithParamInterface<spoiled_head> {
    void SetUp() override { load_catalog(); }

    /// Adds two servers, which give the texts one after the other, whichever of them is asked.
    void add_servers(const std::vector<std::string>& texts) {
        const auto script = [this, texts](const connection& c, const std::string&) {
            const auto i = static_cast<std::size_t>(attempts++);
            c->write(texts.at(std::min(i, texts.size() - 1)));
            if (i + 1 < texts.size() && texts[i].ends_with(event(1) + "\r\n")) {
                loop.after(20ms, [c] { c->close(); });
            }
        };
        add_server(script);
        add_server(script);
    }

    static std::string spoiled_stream() {
        const auto body = "id: 2\ndata: " + std::string{spoiled_text} + "\n\n";
        return GetParam().with_length ? with_length(GetParam().start, body)
                                      : "HTTP/1.1 " + GetParam().start +
                                            "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n";
    }

    /// Expects that the only attempt has failed and that nothing of its response reached the caller.
    void expect_failure(const test_caller& c) {
        EXPECT_TRUE(c.received.starts_with("HTTP/1.1 502")) << c.received;
        EXPECT_FALSE(contains(c.received, spoiled_text)) << c.received;
        EXPECT_EQ(records.back().failure_cause, GetParam().cause);
        EXPECT_EQ(records.back().run_state, base::run_state::unknown);
        EXPECT_EQ(attempts, 1);
        EXPECT_TRUE(run_until([&] {
            return servers[0]->closed_connection_count() + servers[1]->closed_connection_count() == 1;
        }));
    }

    int attempts = 0;
};

using plain_response_origin_test = response_origin_test;
using stream_response_origin_test = response_origin_test;

// Failure: a server's spoiled response to an order is passed on as a success or as a promise.
TEST_P(plain_response_origin_test, order_gets_no_response_that_nobody_made) {
    add_servers({with_length(GetParam().start, spoiled_text)});
    const auto c = send_request("/order/", "1");
    ASSERT_TRUE(wait_for_records());
    expect_failure(*c);
}

// Failure: a spoiled response is passed on although another server could give a sound one.
TEST_P(plain_response_origin_test, repeatable_request_gets_the_response_of_another_server) {
    add_servers({with_length(GetParam().start, spoiled_text), make_response("1", "sound")});
    const auto c = send_request("/read/", "1");
    ASSERT_TRUE(wait_for_records());
    EXPECT_TRUE(c->received.starts_with("HTTP/1.1 200")) << c->received;
    EXPECT_TRUE(c->received.ends_with("sound")) << c->received;
    EXPECT_FALSE(contains(c->received, spoiled_text)) << c->received;
    EXPECT_EQ(records.back().failure_cause, GetParam().cause);
    EXPECT_EQ(attempts, 2);
}

INSTANTIATE_TEST_SUITE_P(server, plain_response_origin_test, testing::ValuesIn(plain_heads()),
                         [](const auto& x) { return x.param.name; });

// Failure: a stream that may not be resumed gets a spoiled response.
TEST_P(stream_response_origin_test, stream_gets_no_response_that_nobody_made) {
    add_servers({spoiled_stream()});
    const auto c = send_request("/draft/", "1");
    ASSERT_TRUE(wait_for_records());
    expect_failure(*c);
}

// Failure: a spoiled response is passed on although another server could run the stream.
TEST_P(stream_response_origin_test, resumable_stream_is_run_by_another_server) {
    add_servers({spoiled_stream(), stream_head("1") + chunk(event(1)) + "0\r\n\r\n"});
    const auto c = send_request("/talk/", "1");
    ASSERT_TRUE(wait_for_records());
    EXPECT_TRUE(contains(c->received, event(1))) << c->received;
    EXPECT_TRUE(c->received.ends_with("0\r\n\r\n")) << c->received;
    EXPECT_FALSE(contains(c->received, spoiled_text)) << c->received;
    EXPECT_EQ(records.back().failure_cause, GetParam().cause);
    EXPECT_EQ(attempts, 2);
}

// Failure: the events of a second server whose head is spoiled are joined to those of the first.
TEST_P(stream_response_origin_test, resumed_stream_takes_no_events_behind_a_spoiled_head) {
    add_servers({stream_head("1") + chunk(event(1)), spoiled_stream()});
    const auto c = send_request("/talk/", "1");
    ASSERT_TRUE(wait_for_records());
    ASSERT_TRUE(run_until([&] { return c->closed; }));
    EXPECT_TRUE(contains(c->received, event(1))) << c->received;
    EXPECT_FALSE(contains(c->received, spoiled_text)) << c->received;
    EXPECT_FALSE(c->received.ends_with("0\r\n\r\n")) << "an unfinished stream must not look complete";
    EXPECT_EQ(records.back().failure_cause, GetParam().cause);
}

INSTANTIATE_TEST_SUITE_P(server, stream_response_origin_test, testing::ValuesIn(stream_heads()),
                         [](const auto& x) { return x.param.name; });

struct head_request_test : request_router_test {};

// Guards against taking the response to HEAD, which has no body, for a stream that broke off.
TEST_F(head_request_test, is_answered_on_a_streaming_route) {
    for (const std::string type : {"text/event-stream", "text/plain"}) {
        remove_servers();
        load_catalog();
        add_server([type](const connection& c, const std::string&) {
            c->write("HTTP/1.1 200 X\r\nId: 1\r\nContent-Type: " + type + "\r\n\r\n");
        });
        auto c = std::make_shared<test_caller>();
        c->stream = net::stream::connect(loop, listener.local(), 1s,
                                         {.connected = nullptr,
                                          .received = [c](std::string_view b) { c->received.append(b); },
                                          .drained = nullptr,
                                          .ended = [c](net::stream_end) { c->closed = true; }});
        const auto before = records.size();
        c->stream->write("HEAD /talk/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\n\r\n");
        ASSERT_TRUE(wait_for_records(before + 1));
        EXPECT_EQ(records.back().status, 200) << type;
        EXPECT_TRUE(c->received.starts_with("HTTP/1.1 200")) << c->received;
    }
}

}  // namespace
}  // namespace chicorygap::proxy
