#include "net/listener.h"

#include "base/error.h"
#include "base/log.h"
#include "net/loop.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <utility>

namespace chicorygap::net {

namespace {

/// Length of the kernel's queue of new connections; the kernel cuts it to its own limit. An overflow costs
/// callers seconds, because the opening packet is dropped and sent again.
constexpr int backlog = 1024;
/// Connections accepted in one round before other sockets get their turn.
constexpr int accepts_per_round = 64;

}  // namespace

listener::listener(loop& l, const address& at, accept_function accepted)
    : loop_{l}, accepted_{std::move(accepted)} {
    try {
        const bool any_port = at.port == 0;
        socket_.bind(Poco::Net::SocketAddress{at.host, at.port}, !any_port, false);
        socket_.listen(backlog);
        socket_.setBlocking(false);
    } catch (const Poco::Exception& e) {
        throw base::error{base::result_code::settings_invalid,
                          "cannot listen on " + to_string(at) + ": " + e.displayText()};
    }
    loop_.watch(socket_, true, false, [this](readiness) { accept_waiting(); });
}

listener::~listener() {
    loop_.unwatch(socket_);
}

address listener::local() const {
    const auto a = socket_.address();
    return {a.host().toString(), a.port()};
}

void listener::accept_waiting() {
    for (int i = 0; i < accepts_per_round; ++i) {
        try {
            accepted_(socket_.acceptConnection());
        } catch (const Poco::Exception& e) {
            // Out of descriptors, or the caller left the queue; with nothing waiting this is the usual end.
            if (e.code() != POCO_EAGAIN && e.code() != POCO_EWOULDBLOCK) {
                base::log_line{base::log_level::warning, "net", "Connection not accepted."}.field(
                    "error", e.displayText());
            }
            return;
        }
    }
}

}  // namespace chicorygap::net
