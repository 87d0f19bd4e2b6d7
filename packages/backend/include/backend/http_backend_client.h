/// @file
/// HTTP adapter of `backend_client` on POCO `HTTPClientSession`.
#pragma once

#include "backend/backend_client.h"
#include "base/time.h"

#include <cstddef>
#include <memory>

namespace chicorygap::backend {

/// Settings of the HTTP adapter.
struct http_client_options {
    /// Idle connections kept per backend server.
    std::size_t idle_connections_per_server = 64;
    /// An idle connection older than this is closed. Below the usual keep-alive limit of servers, so that a
    /// request rarely meets a connection that the server is closing.
    base::duration idle_connection_limit = std::chrono::seconds{4};
    /// Limit of the `POST /cancel` call, which runs on the caller's thread.
    base::duration cancel_limit = std::chrono::milliseconds{500};
    /// Largest unstreamed chat answer and largest single event of a stream, in bytes.
    std::size_t answer_limit = std::size_t{8} << 20U;
    base::now_function now = base::boot_clock::now;
};

/// Blocking HTTP client with a connection pool per backend server. Safe for use by many threads.
///
/// Sends only allow-listed header fields (P4), checks the `X-Request-Id` echo (P8) and never reuses a
/// connection that timed out, was cancelled, ended early or holds unread bytes.
class http_backend_client : public backend_client {
public:
    explicit http_backend_client(http_client_options options = {});
    ~http_backend_client() override;
    http_backend_client(const http_backend_client&) = delete;
    http_backend_client& operator=(const http_backend_client&) = delete;

    attempt_outcome call(const backend_request& request, const answer_sink& sink,
                         const cancel_token& cancel) override;

    /// @return idle pooled connections over all servers.
    [[nodiscard]] std::size_t idle_connections() const;

    /// Closes the idle connections of a server that has left.
    void forget(const endpoint& server);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

}  // namespace chicorygap::backend
