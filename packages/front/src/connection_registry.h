/// @file
/// Open caller connections.
#pragma once

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <map>
#include <mutex>

namespace chicorygap::front {

/// Knows which connections wait for a request, so that a drain can end those at once. Safe for use by many
/// threads.
class connection_registry {
public:
    /// Registers a connection that waits for its first request.
    void add(const Poco::Net::StreamSocket& socket);
    void remove(const Poco::Net::StreamSocket& socket);

    /// Marks the connection as busy. @return false while draining; the connection must then end.
    bool begin_request(const Poco::Net::StreamSocket& socket);
    /// Marks the connection as waiting. @return false while draining.
    bool end_request(const Poco::Net::StreamSocket& socket);

    /// Ends connections that wait for a request; the others end after their request.
    void drain();
    /// Shuts all connections down.
    void shutdown();
    [[nodiscard]] bool draining() const { return draining_; }

private:
    struct entry {
        Poco::Net::StreamSocket socket;
        bool busy = false;
    };
    using key = const Poco::Net::SocketImpl*;

    std::mutex mutex_;
    std::map<key, entry> entries_;
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
