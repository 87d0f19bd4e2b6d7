#include "connection.h"

#include "base/error.h"

#include <Poco/Net/IPAddress.h>
#include <Poco/Net/NetException.h>

#include <poll.h>

namespace chicorygap::backend {

namespace {

Poco::Timespan to_timespan(base::duration d) {
    return Poco::Timespan{std::chrono::duration_cast<std::chrono::microseconds>(d).count()};
}

Poco::Net::SocketAddress address_of(const endpoint& server) {
    Poco::Net::IPAddress ip;
    if (!Poco::Net::IPAddress::tryParse(server.host, ip)) {
        throw base::error{base::result_code::connect_failed, "server address is not an IP address"};
    }
    return {ip, server.port};
}

}  // namespace

single_connection_session::single_connection_session(const Poco::Net::StreamSocket& socket)
    : HTTPClientSession{socket} {
    setKeepAlive(true);
}

void single_connection_session::connect(const Poco::Net::SocketAddress& /*address*/) {
    throw Poco::Net::ConnectionAbortedException{"connection lost"};
}

connection::connection(const endpoint& server, base::duration limit) : guard_{new guarded_socket} {
    guarded_stream socket{guard_};
    try {
        socket.connect(address_of(server), to_timespan(limit));
        socket.setNoDelay(true);
    } catch (const Poco::Exception& e) {
        throw base::error{base::result_code::connect_failed, e.displayText()};
    }
    session_ = std::make_unique<single_connection_session>(socket);
}

bool connection::usable() {
    if (guard_->stopped() || guard_->ended() || session_->has_buffered_bytes()) {
        return false;
    }
    pollfd p{guard_->sockfd(), POLLIN | POLLRDHUP, 0};
    return ::poll(&p, 1, 0) == 0;
}

}  // namespace chicorygap::backend
