#include "http/server_session.h"

#include "net/listener.h"
#include "net/loop.h"
#include "net/stream.h"

#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chicorygap::http {
namespace {

using namespace std::chrono_literals;

/// One caller whose session leaves the requests to the test.
struct server_session_test : testing::Test {
    net::loop loop;
    std::shared_ptr<server_session> session;
    std::vector<std::string> targets;  ///< of the requests that were reported
    int callers_gone = 0;
    bool closed = false;
    /// Called for each request after it was recorded.
    std::function<void(server_session&)> on_request;
    net::listener listener{loop, {"127.0.0.1", 0}, [this](const Poco::Net::StreamSocket& s) { accept(s); }};
    std::shared_ptr<net::stream> caller;
    std::string received;
    bool caller_closed = false;

    void accept(const Poco::Net::StreamSocket& socket) {
        session = server_session::start(loop, socket, {},
                                        {.received =
                                             [this](server_session& s, request&& r) {
                                                 targets.push_back(r.head.target);
                                                 if (on_request) {
                                                     on_request(s);
                                                 }
                                             },
                                         .caller_gone = [this](server_session&) { ++callers_gone; },
                                         .drained = nullptr,
                                         .closed =
                                             [this](server_session&) {
                                                 closed = true;
                                                 session.reset();
                                             }});
    }

    void send(const std::string& text) {
        if (!caller) {
            caller = net::stream::connect(loop, listener.local(), 1s,
                                          {.connected = nullptr,
                                           .received = [this](std::string_view b) { received.append(b); },
                                           .drained = nullptr,
                                           .ended = [this](net::stream_end) { caller_closed = true; }});
        }
        caller->write(text);
    }

    static std::string request_text(const std::string& target, const std::string& fields = "") {
        return "POST " + target + " HTTP/1.1\r\nContent-Length: 2\r\n" + fields + "\r\nok";
    }

    /// Runs the loop until `done` returns true, for at most 2 s.
    bool run_until(const std::function<bool()>& done) {
        const auto end = base::boot_clock::now() + 2s;
        while (!done() && base::boot_clock::now() < end) {
            loop.run_once(10ms);
        }
        return done();
    }

    void run_rounds(int n) {
        for (int i = 0; i < n; ++i) {
            loop.run_once(5ms);
        }
    }

    [[nodiscard]] int answers() const {
        int n = 0;
        for (auto at = received.find("HTTP/1.1 "); at != std::string::npos;
             at = received.find("HTTP/1.1 ", at + 1)) {
            ++n;
        }
        return n;
    }
};

using answer_function = std::function<void(server_session&)>;

// Failure: the next request was reported while the owner was still inside the answer to the one before, and
// the owner took the new request for its own.
TEST_F(server_session_test, next_request_is_not_reported_inside_an_answer) {
    const std::vector<answer_function> kinds{[](server_session& s) { s.respond({.status = 200}, "whole"); },
                                             [](server_session& s) { s.respond({.status = 503}, {}); },
                                             [](server_session& s) {
                                                 s.begin({.status = 200});
                                                 s.send("part");
                                                 s.finish();
                                             }};
    for (const auto& answer : kinds) {
        caller.reset();
        targets.clear();
        received.clear();
        send(request_text("/1") + request_text("/2"));
        ASSERT_TRUE(run_until([&] { return targets.size() == 1; }));
        run_rounds(3);
        ASSERT_EQ(targets.size(), 1U);
        answer(*session);
        EXPECT_EQ(targets.size(), 1U);
        EXPECT_FALSE(session->busy());
        ASSERT_TRUE(run_until([&] { return targets.size() == 2; }));
        EXPECT_TRUE(session->busy());
        answer(*session);
        ASSERT_TRUE(run_until([&] { return answers() == 2; }));
        EXPECT_EQ(targets, (std::vector<std::string>{"/1", "/2"}));
    }
}

// Failure: as above, where the owner answers each request at once.
TEST_F(server_session_test, requests_that_are_answered_at_once_are_reported_one_after_the_other) {
    int depth = 0;
    int deepest = 0;
    on_request = [&](server_session& s) {
        deepest = std::max(deepest, ++depth);
        s.respond({.status = 200}, "x");
        --depth;
    };
    send(request_text("/1") + request_text("/2") + request_text("/3"));
    ASSERT_TRUE(run_until([&] { return answers() == 3; }));
    EXPECT_EQ(targets, (std::vector<std::string>{"/1", "/2", "/3"}));
    EXPECT_EQ(deepest, 1);
}

// Failure: a request behind one that asks for the end of the connection runs and is never answered.
TEST_F(server_session_test, nothing_is_reported_behind_a_request_that_closes_the_connection) {
    send(request_text("/1", "Connection: close\r\n") + request_text("/2"));
    ASSERT_TRUE(run_until([&] { return targets.size() == 1; }));
    session->respond({.status = 200}, "x");
    ASSERT_TRUE(run_until([&] { return caller_closed; }));
    EXPECT_EQ(targets.size(), 1U);
    EXPECT_EQ(answers(), 1);
}

// Failure: a request is reported whose caller has left between the answer before it and its turn.
TEST_F(server_session_test, kept_request_is_not_reported_after_the_connection_was_aborted) {
    send(request_text("/1") + request_text("/2"));
    ASSERT_TRUE(run_until([&] { return targets.size() == 1; }));
    const auto s = session;
    s->respond({.status = 200}, "x");
    s->abort();
    run_rounds(5);
    EXPECT_EQ(targets.size(), 1U);
    EXPECT_TRUE(closed);
    EXPECT_EQ(callers_gone, 0);
}

// Failure: the leaving of a caller is reported for the first request instead of the one in progress, or not.
TEST_F(server_session_test, caller_that_leaves_is_reported_for_the_second_request) {
    send(request_text("/1") + request_text("/2"));
    ASSERT_TRUE(run_until([&] { return targets.size() == 1; }));
    session->respond({.status = 200}, "x");
    ASSERT_TRUE(run_until([&] { return targets.size() == 2; }));
    caller->close();
    ASSERT_TRUE(run_until([&] { return closed; }));
    EXPECT_EQ(callers_gone, 1);
}

}  // namespace
}  // namespace chicorygap::http
