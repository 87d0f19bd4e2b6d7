#include "peer/node.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <chrono>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chicorygap::peer {
namespace {

using namespace std::chrono_literals;

/// Listening socket whose connections are accepted by the test and never answered.
class silent_listener {
public:
    silent_listener() : fd_{socket(AF_INET, SOCK_STREAM, 0)} {
        sockaddr_in a{};
        a.sin_family = AF_INET;
        a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t n = sizeof a;
        auto* generic = reinterpret_cast<sockaddr*>(&a);
        if (bind(fd_, generic, n) != 0 || listen(fd_, 8) != 0 || getsockname(fd_, generic, &n) != 0) {
            throw std::runtime_error{"listen failed"};
        }
        port_ = ntohs(a.sin_port);
    }
    ~silent_listener() { close(fd_); }
    silent_listener(const silent_listener&) = delete;
    silent_listener& operator=(const silent_listener&) = delete;
    silent_listener(silent_listener&&) = delete;
    silent_listener& operator=(silent_listener&&) = delete;

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    [[nodiscard]] int accept_next() const { return accept(fd_, nullptr, nullptr); }

private:
    int fd_;
    int port_ = 0;
};

base::result_code status(node& n, const std::string& address) {
    try {
        await<std::string>([&](auto d) { n.status(address, d); });
        return base::result_code::ok;
    } catch (const base::error& e) {
        return e.code();
    }
}

// Reads until the peer closes.
bool closed_by_peer(int fd) {
    char buf[512];
    ssize_t n = 0;
    while ((n = read(fd, buf, sizeof buf)) > 0) {
    }
    close(fd);
    return n == 0;
}

// Guards against a connection that stalled silently and is used for ever: the call ends in time, the
// connection is closed, and the next call opens a new one.
TEST(stall, silent_connection_is_closed_and_reopened) {
    const silent_listener peer;
    node n{{.call_timeout = 100ms}, {}};
    EXPECT_EQ(status(n, peer.address()), base::result_code::first_byte_timeout);
    const int first = peer.accept_next();
    EXPECT_TRUE(closed_by_peer(first));
    EXPECT_EQ(status(n, peer.address()), base::result_code::first_byte_timeout);
    const int second = peer.accept_next();
    EXPECT_TRUE(closed_by_peer(second));
}

// Guards against a slow handler that is mistaken for a stalled connection: other calls on it still succeed.
TEST(stall, slow_call_does_not_close_a_live_connection) {
    int failed = 0;
    node server{{}, {.claim = [](const auto&, const auto&) {}, .status = [] { return std::string{"up"}; }}};
    node n{{.claim_timeout = 200ms}, {}};
    const auto to = "127.0.0.1:" + std::to_string(server.port());
    std::promise<base::result_code> claim;
    n.claim(to, {}, [&](auto o) { claim.set_value(o.code); });
    auto result = claim.get_future();
    while (result.wait_for(0s) != std::future_status::ready) {
        failed += status(n, to) == base::result_code::ok ? 0 : 1;
    }
    EXPECT_EQ(result.get(), base::result_code::first_byte_timeout);
    EXPECT_EQ(status(n, to), base::result_code::ok);
    EXPECT_EQ(failed, 0);
}

// Guards against a daemon that cannot be reached after it was replaced under the same address.
TEST(stall, replaced_peer_is_reached_again) {
    const handlers h{.status = [] { return std::string{"up"}; }};
    node n{{.call_timeout = 200ms}, {}};
    std::string to;
    {
        node first{{}, h};
        to = "127.0.0.1:" + std::to_string(first.port());
        EXPECT_EQ(status(n, to), base::result_code::ok);
    }
    EXPECT_NE(status(n, to), base::result_code::ok);
    const node second{{.listen = to}, h};
    // The end of the old connection may be noticed only by this call.
    status(n, to);
    EXPECT_EQ(status(n, to), base::result_code::ok);
}

}  // namespace
}  // namespace chicorygap::peer
