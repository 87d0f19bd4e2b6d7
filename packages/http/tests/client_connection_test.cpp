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

}  // namespace
}  // namespace chicorygap::http
