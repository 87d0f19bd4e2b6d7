// Servers that repeat an earlier response, answer the rest of a stream with something else, or stop within
// the head of a response.
#include "router_fixture.h"

#include <map>
#include <vector>

namespace chicorygap::proxy {
namespace {

std::string refusal(const std::string& id) {
    return make_response(id, "", 503, "Not-Run: 1\r\n");
}

std::string id_of(const std::string& request) {
    const auto at = request.find("\r\nId: ") + 6;
    return request.substr(at, request.find("\r\n", at) - at);
}

struct repeated_refusal : request_router_test {
    void SetUp() override { load_catalog(); }

    /// Adds a server that refuses the first attempt of each request and runs the second one, in front of
    /// whose response it writes the refusal once more on the connection of the first.
    void add_repeating_server() {
        add_server([this](const connection& c, const std::string& r) {
            const auto id = id_of(r);
            if (id == warm_up_id || ++attempts[id] > 2) {
                c->write(make_response(id, "ready"));
                return;
            }
            if (attempts[id] == 1) {
                refused_on[id] = c;
                c->write(refusal(id));
                return;
            }
            ++runs;
            refused_on[id]->write(refusal(id));
            loop.after(20ms, [c, id] { c->write(make_response(id, "done")); });
        });
    }

    static constexpr const char* warm_up_id = "0";
    std::map<std::string, int> attempts;
    std::map<std::string, connection> refused_on;
    int runs = 0;
};

// Failure: a server repeats a refusal on a kept connection; the caller is told that the request has not run,
// although the server runs it.
TEST_F(repeated_refusal, is_not_taken_for_the_response_to_the_next_attempt) {
    add_repeating_server();
    for (const auto* path : {"/order/", "/read/"}) {
        attempts.clear();
        runs = 0;
        const auto before = records.size();
        send_request(path, warm_up_id);
        ASSERT_TRUE(wait_for_records(before + 1));
        const auto c = send_request(path, "1");
        ASSERT_TRUE(wait_for_records(before + 2));
        EXPECT_TRUE(contains(c->received, "done")) << path << c->received;
        EXPECT_EQ(runs, 1) << path;
    }
}

// Failure: as above, with a caller that sends the request again under the same id.
TEST_F(repeated_refusal, is_not_taken_for_the_response_to_a_repeated_request) {
    connection refused;
    int requests = 0;
    add_server([&](const connection& c, const std::string& r) {
        switch (++requests) {
            case 1:
            case 2:
                refused = c;
                c->write(make_response(id_of(r), "wrong route", 409));
                return;
            default:
                refused->write(refusal(id_of(r)));
                loop.after(20ms, [c, id = id_of(r)] { c->write(make_response(id, "done")); });
        }
    });
    send_request("/order/", "1");
    ASSERT_TRUE(wait_for_records(1));
    send_request("/order/", "2");
    ASSERT_TRUE(wait_for_records(2));
    const auto c = send_request("/order/", "1");
    ASSERT_TRUE(wait_for_records(3));
    EXPECT_TRUE(contains(c->received, "done")) << c->received;
}

// Failure: a refusal of another request has no id. Guards against a promise that the request has not run.
TEST_F(repeated_refusal, without_an_id_promises_nothing) {
    for (const auto* refused : {"503 X\r\nNot-Run: 1", "421 X"}) {
        remove_servers();
        add_server([refused](const connection& c, const std::string&) {
            c->write(std::string{"HTTP/1.1 "} + refused + "\r\nContent-Length: 0\r\n\r\n");
        });
        const auto before = records.size();
        const auto c = send_request("/order/", "1");
        ASSERT_TRUE(wait_for_records(before + 1));
        EXPECT_TRUE(contains(c->received, "502")) << c->received;
        EXPECT_EQ(records.back().run_state, base::run_state::unknown);
        EXPECT_EQ(servers[0]->request_count(), 1);
    }
}

struct second_answer : request_router_test {
    void SetUp() override { load_catalog(); }

    /// Adds two servers: the first attempt is a stream that breaks off behind its first event, the second one
    /// is answered with `text`.
    void add_servers(const std::string& text, bool close) {
        const auto script = [this, text, close](const connection& c, const std::string&) {
            if (++attempts == 1) {
                c->write(stream_head("1") + chunk(event(1)));
                loop.after(20ms, [c] { c->close(); });
                return;
            }
            c->write(text);
            if (close) {
                c->close_when_drained();
            }
        };
        add_server(script);
        add_server(script);
    }

    int attempts = 0;
};

// Failure: a stream breaks off and the next server answers with an error; its text ends up in the stream.
TEST_F(second_answer, never_reaches_a_stream_that_has_begun) {
    const std::string error = "the error of the second server";
    const auto length = "Content-Length: " + std::to_string(error.size()) + "\r\n\r\n" + error;
    const std::string typed = "Content-Type: text/event-stream\r\n";
    struct kind {
        const char* name;
        std::string text;
        bool close;
    };
    const std::vector<kind> kinds{
        {"error with a length", "HTTP/1.1 500 X\r\nId: 1\r\n" + length, false},
        {"error that ends with its connection",
         "HTTP/1.1 500 X\r\nId: 1\r\nConnection: close\r\n\r\n" + error, true},
        {"error typed as a stream", "HTTP/1.1 500 X\r\nId: 1\r\n" + typed + length, false},
        {"error with the text of an event",
         "HTTP/1.1 500 X\r\nId: 1\r\n" + typed + "Connection: close\r\n\r\nid: 2\ndata: " + error + "\n\n",
         true},
        {"wrong server", "HTTP/1.1 421 X\r\nId: 1\r\n" + length, false},
        {"refusal", "HTTP/1.1 503 X\r\nId: 1\r\nNot-Run: 1\r\n" + length, false},
        {"refusal typed as a stream", "HTTP/1.1 503 X\r\nId: 1\r\nNot-Run: 1\r\n" + typed + length, false},
        {"success that is no stream", "HTTP/1.1 200 X\r\nId: 1\r\nContent-Type: text/plain\r\n" + length,
         false},
        {"success without a type", "HTTP/1.1 200 X\r\nId: 1\r\n" + length, false},
        {"success without content", "HTTP/1.1 204 X\r\nId: 1\r\n\r\n", false},
        {"refused stream with status 200", "HTTP/1.1 200 X\r\nId: 1\r\nNot-Run: 1\r\n" + typed + length,
         false},
        {"redirect", "HTTP/1.1 302 X\r\nId: 1\r\n" + length, false},
        {"client error", "HTTP/1.1 400 X\r\nId: 1\r\n" + length, false},
        {"head that breaks off", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-st", true},
        {"bytes that are no response", error + "\r\n\r\n", true},
    };
    for (const auto& k : kinds) {
        remove_servers();
        attempts = 0;
        const auto before = records.size();
        add_servers(k.text, k.close);
        const auto c = send_request("/talk/", "1");
        ASSERT_TRUE(wait_for_records(before + 1)) << k.name;
        ASSERT_TRUE(run_until([&] { return c->closed; })) << k.name;
        EXPECT_GE(attempts, 2) << k.name;
        EXPECT_TRUE(contains(c->received, event(1))) << k.name;
        EXPECT_FALSE(contains(c->received, "second server")) << k.name;
        EXPECT_EQ(c->received.find("HTTP/1.1", 1), std::string::npos) << k.name;
        EXPECT_FALSE(contains(c->received, "0\r\n\r\n")) << k.name << ": the stream looks complete";
    }
}

struct broken_head : request_router_test {
    void SetUp() override { load_catalog(); }
};

// Failure: a server stops within the head of its response and closes; the caller gets an empty or short
// response that is framed as complete.
TEST_F(broken_head, is_no_response) {
    const std::string whole = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 12\r\nX-Stamp: s1\r\n\r\n";
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    std::vector<std::string> heads;
    for (std::size_t n = 1; n < whole.size(); ++n) {
        heads.push_back(whole.substr(0, n));
        heads.push_back(interim + whole.substr(0, n));
    }
    heads.push_back(interim);
    for (const auto& head : heads) {
        remove_servers();
        add_server([&head](const connection& c, const std::string&) {
            c->write(head);
            c->close_when_drained();
        });
        const auto before = records.size();
        const auto c = send_request("/order/", "1");
        ASSERT_TRUE(wait_for_records(before + 1));
        EXPECT_EQ(records.back().status, 502) << head;
        EXPECT_NE(records.back().run_state, base::run_state::not_run) << head;
        EXPECT_FALSE(contains(c->received, "200 OK")) << head;
    }
}

}  // namespace
}  // namespace chicorygap::proxy
