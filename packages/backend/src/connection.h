/// @file
/// One connection to a backend server.
#pragma once

#include "backend/backend_request.h"
#include "backend/guarded_socket.h"
#include "base/time.h"

#include <Poco/Net/HTTPClientSession.h>

#include <memory>

namespace chicorygap::backend {

/// Client session that never connects by itself. `HTTPClientSession` reconnects and sends again when a write
/// on a kept connection fails, which would hide that bytes were already sent.
class single_connection_session : public Poco::Net::HTTPClientSession {
public:
    explicit single_connection_session(const Poco::Net::StreamSocket& socket);

    /// @return true when bytes of an answer have been received but not read.
    [[nodiscard]] bool has_buffered_bytes() const { return buffered() > 0; }

protected:
    void connect(const Poco::Net::SocketAddress& address) override;
};

/// Open connection with its guard.
class connection {
public:
    /// Connects. @throws base::error with `connect_failed`.
    connection(const endpoint& server, base::duration limit);

    [[nodiscard]] single_connection_session& session() { return *session_; }
    [[nodiscard]] guarded_socket& guard() { return *guard_; }
    /// @return true when the server has neither closed the connection nor sent unrequested bytes.
    [[nodiscard]] bool usable();

    base::time_point idle_since;

private:
    guarded_socket* guard_;  // owned by the session's socket
    std::unique_ptr<single_connection_session> session_;
};

}  // namespace chicorygap::backend
