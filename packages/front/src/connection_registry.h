/// @file
/// Open caller connections.
#pragma once

#include "base/result_code.h"

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>

namespace chicorygap::front {

/// Knows which connections wait for a request, so that those can be ended without interrupting a request.
/// Safe for use by many threads.
class connection_registry {
public:
    /// Registers a connection that waits for its first request.
    void add(const Poco::Net::StreamSocket& socket);
    void remove(const Poco::Net::StreamSocket& socket);

    /// Marks the connection as busy.
    /// @return why the connection was ended while it waited; a request that arrived at the same time must be
    /// refused.
    std::optional<base::result_code> begin_request(const Poco::Net::StreamSocket& socket);
    /// Marks the connection as waiting. @return false while draining; the connection must then end.
    bool end_request(const Poco::Net::StreamSocket& socket);

    /// Ends the connection that has waited longest since its last request, so that its thread serves another
    /// one.
    void end_longest_waiting();

    /// Ends connections that wait for a request; the others end after their request.
    void drain();
    /// Shuts all connections down.
    void shutdown();
    [[nodiscard]] bool draining() const { return draining_; }

private:
    struct entry {
        Poco::Net::StreamSocket socket;
        bool busy = false;
        /// Position in the order of last requests; 0 before the first one.
        std::uint64_t last_request = 0;
        std::optional<base::result_code> ended;
    };
    using key = const Poco::Net::SocketImpl*;

    static void end(entry& e, base::result_code code);

    std::mutex mutex_;
    std::map<key, entry> entries_;
    std::uint64_t requests_ = 0;
    std::atomic<bool> draining_{false};
};

/// Registers a connection for its lifetime. Must end before the socket is closed.
class registration {
public:
    registration(connection_registry& registry, const Poco::Net::StreamSocket& socket)
        : registry_{registry}, socket_{socket} {
        registry_.add(socket_);
    }
    ~registration() { registry_.remove(socket_); }
    registration(const registration&) = delete;
    registration& operator=(const registration&) = delete;

private:
    connection_registry& registry_;
    Poco::Net::StreamSocket socket_;
};

}  // namespace chicorygap::front
