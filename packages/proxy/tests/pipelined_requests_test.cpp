// Callers that send a request on a connection before the one before it is answered.
#include "http/message_reader.h"
#include "router_fixture.h"

#include <map>

namespace chicorygap::proxy {
namespace {

struct parsed_response {
    int status = 0;
    std::string id;
    std::string body;
    bool complete = false;
};

std::string request_text(const std::string& method, const std::string& path, const std::string& id,
                         const std::string& fields = "") {
    return method + " " + path + " HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nKey: k\r\n" + fields +
           (method == "POST" ? "Content-Length: 2\r\n\r\nok" : "\r\n");
}

std::string post(const std::string& path, const std::string& id, const std::string& fields = "") {
    return request_text("POST", path, id, fields);
}

/// @param without_body numbers of the responses that answer HEAD, from 0.
std::vector<parsed_response> parse(std::string_view text, const std::set<std::size_t>& without_body = {}) {
    std::vector<parsed_response> out;
    http::message_reader r{http::message_reader::kind::response,
                           {.request = nullptr,
                            .response =
                                [&](http::response_head&& h) {
                                    const auto* id = h.headers.find("Id");
                                    out.push_back({h.status, id == nullptr ? "" : *id, "", false});
                                },
                            .body = [&](std::string_view part) { out.back().body.append(part); }},
                           4096};
    while (!text.empty()) {
        r.expect_no_body(without_body.contains(out.size()));
        const auto x = r.read(text);
        text.remove_prefix(x.consumed);
        if (x.state != http::read_state::complete) {
            break;
        }
        out.back().complete = true;
    }
    return out;
}

struct pipelined_requests_test : request_router_test {
    std::map<std::string, int> runs;  ///< by id of the request
    base::duration server_time = 30ms;

    void SetUp() override { load_catalog(); }

    static std::string id_of(const std::string& request) {
        const auto at = request.find("\r\nId: ") + 6;
        return request.substr(at, request.find("\r\n", at) - at);
    }

    /// Adds a server that answers each request after `server_time`: streams with two events, others with a
    /// body that names the request. The paths behind the route's choose an error or a large body.
    void add_answering_server() {
        add_server([this](const connection& c, const std::string& r) {
            const auto id = id_of(r);
            ++runs[id];
            loop.after(server_time, [this, c, id, r] { answer(c, id, r); });
        });
    }

    void answer(const connection& c, const std::string& id, const std::string& r) {
        const auto has_path = [&](const char* path) { return contains(r.substr(0, r.find("\r\n")), path); };
        if (has_path("/break")) {
            c->write(stream_head(id) + chunk(event(1)));
            loop.after(20ms, [c] { c->close(); });
        } else if (has_path("/draft/")) {
            c->write(stream_head(id) + chunk(event(1)));
            loop.after(20ms, [c] { c->write(chunk(event(2)) + "0\r\n\r\n"); });
        } else if (has_path("/refuse")) {
            c->write(make_response(id, "", 503, "Not-Run: 1\r\n"));
        } else if (has_path("/fail")) {
            c->write(make_response(id, "error " + id, 500));
        } else if (has_path("/gone")) {
            c->close();
        } else if (has_path("/large")) {
            c->write(make_response(id, "answer " + id + std::string(std::size_t{2} << 20, 'x')));
        } else if (r.starts_with("HEAD")) {
            c->write("HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 30\r\n\r\n");
        } else if (!has_path("/silent")) {
            c->write(make_response(id, "answer " + id));
        }
    }

    std::shared_ptr<test_caller> send_bytes(const std::string& bytes) {
        auto c = std::make_shared<test_caller>();
        c->stream = net::stream::connect(loop, listener.local(), 1s,
                                         {.connected = nullptr,
                                          .received = [c](std::string_view b) { c->received.append(b); },
                                          .drained = nullptr,
                                          .ended = [c](net::stream_end) { c->closed = true; }});
        c->stream->write(bytes);
        return c;
    }

    /// Runs until `n` requests have ended, and then as long as a surplus answer may take.
    void run_to_the_end(std::size_t n) {
        EXPECT_TRUE(run_until([&] { return records.size() >= n; }, 5s));
        run_until([] { return false; }, 150ms);
        EXPECT_EQ(records.size(), n);
        EXPECT_EQ(router.open_requests(), 0U);
    }

    static void expect_answered(const parsed_response& r, const std::string& id) {
        EXPECT_EQ(r.status, 200) << id;
        EXPECT_EQ(r.id, id);
        EXPECT_TRUE(r.complete) << id;
        EXPECT_TRUE(r.body.starts_with("answer " + id) || r.body == event(1) + event(2))
            << id << r.body.substr(0, 80);
    }
};

// Failure: the second of two requests was answered at once by an empty success with the id of the first, or
// ran and its connection was closed without an answer.
TEST_F(pipelined_requests_test, each_request_gets_its_own_answer) {
    add_answering_server();
    const std::vector<std::string> paths{"/order/", "/read/", "/draft/", "/order/large"};
    int n = 0;
    for (const auto& first : paths) {
        for (const auto& second : paths) {
            records.clear();
            const auto a = std::to_string(++n);
            const auto b = std::to_string(++n);
            const auto c = send_bytes(post(first, a));
            ASSERT_TRUE(run_until([&] { return runs[a] == 1; }));
            c->stream->write(post(second, b));
            run_to_the_end(2);
            const auto got = parse(c->received);
            ASSERT_EQ(got.size(), 2U) << first << " " << second;
            expect_answered(got[0], a);
            expect_answered(got[1], b);
            EXPECT_EQ(runs[a], 1);
            EXPECT_EQ(runs[b], 1);
            EXPECT_FALSE(c->closed);
            ASSERT_EQ(records.size(), 2U);
            EXPECT_EQ(records[0].id.str(), a);
            EXPECT_EQ(records[1].id.str(), b);
            EXPECT_EQ(records[1].status, 200);
        }
    }
}

// Failure: the same with more than one request kept.
TEST_F(pipelined_requests_test, three_in_a_row_are_answered_in_order) {
    add_answering_server();
    for (const auto* path : {"/order/", "/draft/"}) {
        records.clear();
        runs.clear();
        const auto c = send_bytes(post(path, "1") + post(path, "2") + post(path, "3"));
        run_to_the_end(3);
        const auto got = parse(c->received);
        ASSERT_EQ(got.size(), 3U) << path;
        for (std::size_t i = 0; i < 3; ++i) {
            expect_answered(got[i], std::to_string(i + 1));
            EXPECT_EQ(runs[std::to_string(i + 1)], 1);
        }
    }
}

struct pipelined_error {
    const char* name;
    const char* path;
    int status;
};

struct pipelined_error_test : pipelined_requests_test, testing::WithParamInterface<pipelined_error> {};

// Failure: a request behind one that is refused, fails or reaches its deadline was answered twice, with the
// error of the one before.
TEST_P(pipelined_error_test, leaves_the_requests_behind_it_alone) {
    // A server that has closed a connection gets no request for a while.
    for (int i = 0; i < 3; ++i) {
        add_answering_server();
    }
    const auto c = send_bytes(post(GetParam().path, "1") + post(GetParam().path, "2") + post("/order/", "3"));
    run_to_the_end(3);
    const auto got = parse(c->received);
    ASSERT_EQ(got.size(), 3U) << c->received;
    EXPECT_EQ(got[0].status, GetParam().status);
    EXPECT_EQ(got[0].id, "1");
    EXPECT_EQ(got[1].status, GetParam().status);
    EXPECT_EQ(got[1].id, "2");
    expect_answered(got[2], "3");
    EXPECT_EQ(runs["3"], 1);
    ASSERT_EQ(records.size(), 3U);
    EXPECT_EQ(records[0].status, GetParam().status);
    EXPECT_EQ(records[1].status, GetParam().status);
}

INSTANTIATE_TEST_SUITE_P(request, pipelined_error_test,
                         testing::Values(pipelined_error{"unknown_route", "/none/", 404},
                                         pipelined_error{"refused_by_its_server", "/order/refuse", 503},
                                         pipelined_error{"error_of_its_server", "/order/fail", 500},
                                         pipelined_error{"repeated_after_an_error", "/read/fail", 500},
                                         pipelined_error{"server_that_closes", "/order/gone", 502},
                                         pipelined_error{"deadline", "/order/silent", 504}),
                         [](const auto& x) { return x.param.name; });

// A stream that breaks off ends its connection; what was kept behind it must not run unanswered.
TEST_F(pipelined_requests_test, request_behind_an_aborted_stream_does_not_run) {
    add_answering_server();
    const auto c = send_bytes(post("/draft/break", "1") + post("/order/", "2"));
    run_to_the_end(1);
    EXPECT_TRUE(c->closed);
    EXPECT_EQ(runs["2"], 0);
    EXPECT_EQ(parse(c->received).size(), 1U);
    EXPECT_FALSE(parse(c->received)[0].complete);
}

// Failure: the end of the first request deleted the entry of the second, whose caller then left unnoticed.
TEST_F(pipelined_requests_test, caller_that_leaves_ends_the_second_request) {
    add_answering_server();
    for (const auto* path : {"/read/", "/draft/"}) {
        records.clear();
        runs.clear();
        server_time = 30ms;
        const auto c = send_bytes(post(path, "1") + post("/read/silent", "2"));
        ASSERT_TRUE(run_until([&] { return runs["2"] == 1; }));
        c->stream->close();
        EXPECT_TRUE(run_until([&] { return router.open_requests() == 0; }, 200ms)) << path;
        ASSERT_EQ(records.size(), 2U);
        EXPECT_EQ(records[1].code, base::result_code::caller_gone);
    }
}

// A caller that leaves during the first request has not asked for the second any more.
TEST_F(pipelined_requests_test, second_request_does_not_run_if_the_caller_leaves_during_the_first) {
    add_answering_server();
    const auto c = send_bytes(post("/order/", "1") + post("/order/", "2"));
    ASSERT_TRUE(run_until([&] { return runs["1"] == 1; }));
    c->stream->close();
    run_to_the_end(1);
    EXPECT_EQ(runs["2"], 0);
}

// Failure: the answer to HEAD has no body; a second answer to it would be read as that to the next request.
TEST_F(pipelined_requests_test, head_before_and_behind_another_request) {
    add_answering_server();
    const auto c =
        send_bytes(post("/read/", "1") + request_text("HEAD", "/read/", "2") + post("/read/", "3"));
    run_to_the_end(3);
    const auto got = parse(c->received, {1});
    ASSERT_EQ(got.size(), 3U) << c->received;
    expect_answered(got[0], "1");
    EXPECT_EQ(got[1].status, 200);
    EXPECT_EQ(got[1].id, "2");
    expect_answered(got[2], "3");
}

// A request behind `Connection: close` is not served and does not run.
TEST_F(pipelined_requests_test, request_behind_the_last_one_of_a_connection_does_not_run) {
    add_answering_server();
    for (const auto* path : {"/order/", "/draft/", "/order/fail"}) {
        records.clear();
        runs.clear();
        const auto c = send_bytes(post(path, "1", "Connection: close\r\n") + post("/order/", "2"));
        run_to_the_end(1);
        EXPECT_TRUE(c->closed) << path;
        EXPECT_EQ(parse(c->received).size(), 1U) << path;
        EXPECT_EQ(runs["2"], 0) << path;
    }
}

// Failure: the end of the first request took the second for its own at the end of the process.
TEST_F(pipelined_requests_test, end_of_the_process_answers_the_request_in_progress_once) {
    add_answering_server();
    const auto c = send_bytes(post("/order/silent", "1") + post("/order/", "2"));
    ASSERT_TRUE(run_until([&] { return runs["1"] == 1; }));
    router.end_requests();
    run_to_the_end(2);
    const auto got = parse(c->received);
    ASSERT_EQ(got.size(), 2U);
    EXPECT_EQ(got[0].status, 502);
    EXPECT_EQ(got[0].id, "1");
    expect_answered(got[1], "2");
}

}  // namespace
}  // namespace chicorygap::proxy
