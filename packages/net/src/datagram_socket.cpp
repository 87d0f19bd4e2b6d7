#include "net/datagram_socket.h"

#include "base/error.h"
#include "base/log.h"
#include "net/loop.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <utility>

namespace chicorygap::net {

namespace {

/// Largest UDP payload.
constexpr std::size_t datagram_size = 65'507;
/// Datagrams read in one round before other sockets get their turn.
constexpr int reads_per_round = 64;

}  // namespace

datagram_socket::datagram_socket(loop& l, const address& at, receive_function received)
    : loop_{l}, received_{std::move(received)} {
    try {
        socket_.bind(Poco::Net::SocketAddress{at.host, at.port});
        socket_.setBlocking(false);
    } catch (const Poco::Exception& e) {
        throw base::error{base::result_code::settings_invalid,
                          "cannot bind " + to_string(at) + ": " + e.displayText()};
    }
    loop_.watch(socket_, true, false, [this](readiness) { receive_waiting(); });
}

datagram_socket::~datagram_socket() {
    loop_.unwatch(socket_);
}

void datagram_socket::send(const address& to, std::string_view bytes) {
    try {
        socket_.sendTo(bytes.data(), static_cast<int>(bytes.size()),
                       Poco::Net::SocketAddress{to.host, to.port});
    } catch (const Poco::Exception& e) {
        base::log_line{base::log_level::debug, "net", "Datagram not sent."}
            .field("to", to_string(to))
            .field("error", e.displayText());
    }
}

address datagram_socket::local() const {
    const auto a = socket_.address();
    return {a.host().toString(), a.port()};
}

void datagram_socket::receive_waiting() {
    static thread_local std::array<char, datagram_size> buf;
    for (int i = 0; i < reads_per_round; ++i) {
        try {
            Poco::Net::SocketAddress from;
            const int n = socket_.receiveFrom(buf.data(), static_cast<int>(buf.size()), from);
            if (n <= 0) {
                return;
            }
            received_({buf.data(), static_cast<std::size_t>(n)});
        } catch (const Poco::Exception& e) {
            // An unreachable port that an earlier datagram was sent to is reported here.
            base::log_line{base::log_level::debug, "net", "Datagram not received."}.field("error",
                                                                                          e.displayText());
            return;
        }
    }
}

}  // namespace chicorygap::net
