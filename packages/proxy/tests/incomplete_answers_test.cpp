// Servers that answer while the upload is still being written and then reset the connection, or whose answers
// are none. In reports from other systems the part of such an answer reached the client as a complete one.
#include "router_fixture.h"

#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace chicorygap::proxy {
namespace {

/// More than the buffers of the kernel take from a sender that is not read.
constexpr std::size_t long_upload_bytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t short_upload_bytes = 10;

struct partial_answer {
    const char* name;
    const char* framing;  ///< fields of the head
    bool chunked = false;
};

using way = std::tuple<const char*, partial_answer, std::size_t>;  ///< route, answer, bytes of the upload

bool is_stream(const std::string& route) {
    return route == "/draft/" || route == "/talk/";
}

bool is_repeatable(const std::string& route) {
    return route == "/read/" || route == "/talk/";
}

/// @return true if the caller received the end of a chunked answer.
bool looks_complete(const std::string& received) {
    return received.ends_with("\r\n0\r\n\r\n");
}

struct incomplete_answers_test : request_router_test {
    void SetUp() override { load_catalog(); }

    /// Adds two servers. The one that gets the first attempt answers with `bytes` at the first bytes of the
    /// request, reads no more of it, and resets the connection later. The other one is sound.
    void add_servers(const std::string& bytes, const std::string& route) {
        const auto serve = [this, bytes, route](const connection& c, const std::string& request) {
            if (++attempts > 1) {
                const bool resumes = contains(request, "\r\nLast: 1\r\n");
                c->write(is_stream(route)
                             ? stream_head("1") + chunk((resumes ? "" : event(1)) + event(2)) + "0\r\n\r\n"
                             : make_response("1", "sound"));
                return;
            }
            c->pause_reading(true);
            c->write(bytes);
            loop.after(30ms, [c] { c->reset(); });
        };
        for (int i = 0; i < 2; ++i) {
            add_server(serve);
            servers.back()->answer_at_first_bytes();
        }
    }

    int attempts = 0;
};

struct reset_behind_a_part : incomplete_answers_test, testing::WithParamInterface<way> {};

// Failure: the caller gets the part of an answer as a complete one.
TEST_P(reset_behind_a_part, is_no_complete_answer) {
    const auto& [path, answer, upload] = GetParam();
    const std::string route = path;
    const auto part = is_stream(route) ? event(1) : std::string{"part"};
    add_servers(std::string{"HTTP/1.1 200 OK\r\nId: 1\r\n"} +
                    (is_stream(route) ? "Content-Type: text/event-stream\r\n" : "") + answer.framing +
                    "\r\n" + (answer.chunked ? chunk(part) : part),
                route);
    const auto c = send_request(route, "1", "k", std::string(upload, 'u'));
    ASSERT_TRUE(wait_for_records());
    EXPECT_FALSE(contains(c->received, "\r\n\r\npart"));
    if (is_repeatable(route)) {
        EXPECT_EQ(attempts, 2);
        EXPECT_TRUE(contains(c->received, is_stream(route) ? "id: 2" : "sound")) << c->received;
        EXPECT_EQ(records[0].status, 200);
        return;
    }
    EXPECT_EQ(attempts, 1);
    EXPECT_NE(records[0].status, 200);
    EXPECT_NE(records[0].run_state, base::run_state::not_run);
    EXPECT_FALSE(looks_complete(c->received)) << c->received;
    if (c->received.starts_with("HTTP/1.1 200")) {
        EXPECT_TRUE(is_stream(route)) << c->received;
        ASSERT_TRUE(run_until([&] { return c->closed; }));
        EXPECT_FALSE(looks_complete(c->received)) << c->received;
        return;
    }
    EXPECT_TRUE(c->received.starts_with("HTTP/1.1 502")) << c->received;
    // The connection of the caller serves the next request.
    c->received.clear();
    c->stream->write("POST /order/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(run_until([&] { return contains(c->received, is_stream(route) ? "HTTP/1.1" : "sound"); }));
}

constexpr partial_answer partial_answers[] = {
    {"unframed", ""},
    {"chunked", "Transfer-Encoding: chunked\r\n", true},
    {"length", "Content-Length: 4000\r\n"},
};

std::string name_of(const testing::TestParamInfo<way>& info) {
    const auto& [path, answer, upload] = info.param;
    std::string route = path;
    std::erase(route, '/');
    return route + "_" + answer.name + (upload == long_upload_bytes ? "_long" : "_short") + "_upload";
}

INSTANTIATE_TEST_SUITE_P(server, reset_behind_a_part,
                         testing::Combine(testing::Values("/read/", "/order/", "/draft/", "/talk/"),
                                          testing::ValuesIn(partial_answers),
                                          testing::Values(long_upload_bytes, short_upload_bytes)),
                         name_of);

struct odd_status : incomplete_answers_test,
                    testing::WithParamInterface<std::tuple<const char*, const char*>> {};

// Failure: an answer with status 000 reaches the caller.
TEST_P(odd_status, reaches_no_caller) {
    const auto& [path, status] = GetParam();
    const std::string route = path;
    const std::string type = is_stream(route) ? "Content-Type: text/event-stream\r\n" : "";
    for (const std::string framing : {"Content-Length: 4\r\n\r\npart", "\r\npart"}) {
        remove_servers();
        records.clear();
        attempts = 0;
        std::string answer = "HTTP/1.1 ";
        answer.append(status).append(" X\r\nId: 1\r\n").append(type).append(framing);
        add_servers(answer, route);
        const auto c = send_request(route, "1", "k", std::string(short_upload_bytes, 'u'));
        ASSERT_TRUE(wait_for_records()) << framing;
        EXPECT_FALSE(contains(c->received, "part")) << c->received;
        EXPECT_FALSE(contains(c->received, "HTTP/1.1 " + std::string{status})) << c->received;
        EXPECT_EQ(records[0].status, is_repeatable(route) ? 200 : 502) << framing;
        EXPECT_EQ(attempts, is_repeatable(route) ? 2 : 1) << framing;
    }
}

INSTANTIATE_TEST_SUITE_P(server, odd_status,
                         testing::Combine(testing::Values("/read/", "/order/", "/draft/", "/talk/"),
                                          testing::Values("000", "0", "099", "600", "999", "20x")),
                         [](const auto& x) {
                             std::string route = std::get<0>(x.param);
                             std::erase(route, '/');
                             return route + "_" + std::get<1>(x.param);
                         });

struct unfinished_head : incomplete_answers_test, testing::WithParamInterface<const char*> {};

// Failure: a head that is not whole is taken for an answer.
TEST_P(unfinished_head, is_no_answer) {
    for (const std::string head :
         {"H", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n"}) {
        remove_servers();
        records.clear();
        attempts = 0;
        add_servers(head, GetParam());
        const auto c = send_request(GetParam(), "1", "k", std::string(long_upload_bytes, 'u'));
        ASSERT_TRUE(wait_for_records()) << head;
        EXPECT_EQ(records[0].status, is_repeatable(GetParam()) ? 200 : 502) << head;
        EXPECT_NE(records[0].run_state, base::run_state::not_run) << head;
    }
}

INSTANTIATE_TEST_SUITE_P(server, unfinished_head, testing::Values("/read/", "/order/", "/draft/", "/talk/"),
                         [](const auto& x) {
                             std::string route = x.param;
                             std::erase(route, '/');
                             return route;
                         });

// An orderly end behind the same bytes completes an answer without a length.
TEST_F(incomplete_answers_test, orderly_end_completes_an_answer_without_a_length) {
    add_server([](const connection& c, const std::string&) {
        c->write("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole");
        c->close_when_drained();
    });
    const auto c = send_request("/order/", "1", "k", std::string(long_upload_bytes, 'u'));
    ASSERT_TRUE(wait_for_records());
    EXPECT_EQ(records[0].status, 200);
    EXPECT_TRUE(contains(c->received, "\r\n\r\nwhole"));
}

// Failure: a caller that is slow, and leaves within its upload, lets a server run half of a request.
TEST_F(incomplete_answers_test, upload_whose_caller_leaves_reaches_no_server) {
    add_servers("HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart", "/order/");
    auto c = net::stream::connect(loop, listener.local(), 1s, {});
    c->write("POST /order/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nContent-Length: 1000\r\n\r\nhalf");
    ASSERT_TRUE(run_until([&] { return !sessions.empty(); }));
    loop.after(20ms, [c] { c->close(); });
    ASSERT_TRUE(run_until([&] { return sessions.empty(); }));
    EXPECT_EQ(attempts, 0);
    EXPECT_TRUE(records.empty());
}

// Failure: the same for a caller that is slow and stays.
TEST_F(incomplete_answers_test, part_of_an_answer_to_a_slow_upload_is_none) {
    add_servers("HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart", "/order/");
    std::string received;
    auto c = net::stream::connect(loop, listener.local(), 1s,
                                  {.received = [&](std::string_view b) { received.append(b); }});
    c->write("POST /order/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nContent-Length: 4000000\r\n\r\n");
    for (int i = 1; i <= 4; ++i) {
        loop.after(i * 20ms, [c] { c->write(std::string(1'000'000, 'u')); });
    }
    ASSERT_TRUE(wait_for_records());
    EXPECT_EQ(records[0].status, 502);
    EXPECT_TRUE(received.starts_with("HTTP/1.1 502")) << received;
}

}  // namespace
}  // namespace chicorygap::proxy
