/// @file
/// Idle connections per backend server.
#pragma once

#include "backend/http_backend_client.h"
#include "connection.h"

#include <deque>
#include <map>
#include <memory>
#include <mutex>

namespace chicorygap::backend {

/// Keeps connections whose last answer was read to its end. Safe for use by many threads.
class connection_pool {
public:
    explicit connection_pool(const http_client_options& options) : options_{options} {}

    /// @return a usable idle connection, the most recently used first, or null.
    std::unique_ptr<connection> take(const endpoint& server);
    /// Keeps the connection unless the server's share is full.
    void put(const endpoint& server, std::unique_ptr<connection> c);
    void forget(const endpoint& server);
    [[nodiscard]] std::size_t size() const;

private:
    using idle_list = std::deque<std::unique_ptr<connection>>;

    /// Moves expired connections of all servers to `expired`, at most once per idle limit.
    void collect_expired(base::time_point now, idle_list& expired);

    const http_client_options& options_;
    mutable std::mutex mutex_;
    std::map<endpoint, idle_list> idle_;
    base::time_point next_collection_;
};

}  // namespace chicorygap::backend
