#include "http/client_connection.h"

#include "net/listener.h"
#include "net/loop.h"
#include "net/stream.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace chicorygap::http {
namespace {

using namespace std::chrono_literals;

// Failure: a request is given up while a cut link holds it. Guards against a server that receives it seconds
// later, after the caller was told that it failed.
TEST(client_connection, request_that_was_given_up_is_not_delivered_later) {
    net::loop loop;
    std::shared_ptr<net::stream> server;
    std::optional<net::stream_end> server_end;
    net::listener listener{loop, {"127.0.0.1", 0}, [&](const Poco::Net::StreamSocket& s) {
                               server =
                                   net::stream::adopt(loop, s,
                                                      {.connected = nullptr,
                                                       .received = nullptr,
                                                       .drained = nullptr,
                                                       .ended = [&](net::stream_end e) { server_end = e; }});
                               server->pause_reading(true);
                           }};
    const auto run_until = [&](const std::function<bool()>& done) {
        const auto end = base::boot_clock::now() + 5s;
        while (!done() && base::boot_clock::now() < end) {
            loop.run_once(10ms);
        }
        return done();
    };
    const std::string body(std::size_t{32} * 1024 * 1024, 'x');
    const auto c = client_connection::connect(loop, listener.local(), 1s);
    c->start("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, false,
             nullptr, {});
    ASSERT_TRUE(run_until([&] { return server != nullptr && c->sent(); }));
    c->abort();
    server->pause_reading(false);
    ASSERT_TRUE(run_until([&] { return server_end.has_value(); }));
    EXPECT_EQ(server_end, net::stream_end::reset);
}

// Failure: a server writes a response to a connection before it has received a request. The bytes are there
// before the loop learns that the connection is established.
TEST(client_connection, bytes_before_the_request_answer_nothing) {
    net::loop loop;
    Poco::Net::ServerSocket listener{Poco::Net::SocketAddress{"127.0.0.1", 0}};
    const auto c = client_connection::connect(loop, {"127.0.0.1", listener.address().port()}, 1s);
    bool answered = false;
    std::optional<exchange_failure> failure;
    c->start("POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n", false, nullptr,
             {.head = [&](response_head&&) { answered = true; },
              .body = nullptr,
              .complete = [&] { answered = true; },
              .failed = [&](exchange_failure f) { failure = f; }});
    auto server = listener.acceptConnection();
    const std::string early = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
    ASSERT_EQ(server.sendBytes(early.data(), static_cast<int>(early.size())), static_cast<int>(early.size()));
    const auto end = base::boot_clock::now() + 5s;
    while (!failure && !answered && base::boot_clock::now() < end) {
        loop.run_once(10ms);
    }
    EXPECT_FALSE(answered);
    EXPECT_EQ(failure, exchange_failure::early_bytes);
    // Nothing was sent: the connection ends without a byte of the request.
    char byte = 0;
    int n = 0;
    try {
        n = server.receiveBytes(&byte, 1);
    } catch (const Poco::Exception&) {
        n = 0;
    }
    EXPECT_EQ(n, 0);
}

/// Server that writes what the test tells it, and a connection to it with a request in flight.
struct slow_server_test : testing::Test {
    net::loop loop;
    std::shared_ptr<net::stream> server;
    net::listener listener{loop, {"127.0.0.1", 0}, [this](const Poco::Net::StreamSocket& s) {
                               server = net::stream::adopt(loop, s, {});
                           }};
    std::shared_ptr<client_connection> connection;
    std::optional<exchange_failure> failure;
    int status = 0;
    bool complete = false;

    void SetUp() override {
        connection = client_connection::connect(loop, listener.local(), 1s);
        connection->start("POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n", false, nullptr,
                          {.connected = nullptr,
                           .head = [this](response_head&& h) { status = h.status; },
                           .body = nullptr,
                           .complete = [this] { complete = true; },
                           .failed = [this](exchange_failure f) { failure = f; }});
        const auto end = base::boot_clock::now() + 5s;
        while ((!server || !connection->sent()) && base::boot_clock::now() < end) {
            loop.run_once(10ms);
        }
        ASSERT_TRUE(server);
    }

    /// Writes pieces one at a time, each of which is read by itself.
    /// @return number of pieces that were written before the exchange ended.
    int write_slowly(const std::string& piece, int limit) {
        int n = 0;
        for (; n < limit && !failure && !complete; ++n) {
            server->write(piece);
            loop.run_once(20ms);
        }
        return n;
    }
};

// Failure: a server that sends a few bytes at a time, which are none of an answer, kept a request open until
// its deadline.
TEST_F(slow_server_test, bytes_without_progress_end_the_exchange) {
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string& start :
         {std::string{"HTTP/1.1 200 OK\r\nA: "}, chunked + "5;", chunked + "0\r\nA: "}) {
        failure.reset();
        server.reset();
        SetUp();
        server->write(start);
        EXPECT_LT(write_slowly("x", 2000), 1500) << start;
        EXPECT_EQ(failure, exchange_failure::malformed) << start;
    }
}

// A slow but sound server is not cut: its body arrives byte by byte behind some interim responses.
TEST_F(slow_server_test, slow_progress_does_not_end_the_exchange) {
    write_slowly("HTTP/1.1 102 Processing\r\n\r\n", 300);
    server->write("HTTP/1.1 200 OK\r\nContent-Length: 1500\r\n\r\n");
    EXPECT_GE(write_slowly("x", 1600), 1500);
    EXPECT_FALSE(failure);
    EXPECT_TRUE(complete);
    EXPECT_EQ(status, 200);
}

}  // namespace
}  // namespace chicorygap::http
