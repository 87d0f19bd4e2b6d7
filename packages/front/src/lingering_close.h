/// @file
/// Closes connections whose peer may still be sending.
#pragma once

#include "base/time.h"

#include <Poco/Net/StreamSocket.h>

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <thread>
#include <vector>

namespace chicorygap::front {

/// Reads and drops bytes after a final answer. Closing a socket with unread bytes resets the connection, and
/// the caller may then lose the refusal it was sent.
class lingering_close {
public:
    lingering_close();
    ~lingering_close();
    lingering_close(const lingering_close&) = delete;
    lingering_close& operator=(const lingering_close&) = delete;

    /// Ends the sending side and closes the socket when the peer has closed or the limit has elapsed. Closes
    /// at once if too many sockets are waiting.
    void add(const Poco::Net::StreamSocket& socket);

private:
    struct entry {
        Poco::Net::StreamSocket socket;
        base::time_point until;
    };

    void run();
    void poll_once(std::vector<entry>& entries);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<entry> added_;
    std::size_t held_ = 0;
    bool stopping_ = false;
    std::thread thread_;
};

}  // namespace chicorygap::front
