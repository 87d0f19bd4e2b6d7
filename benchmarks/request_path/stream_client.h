/// @file
/// Reads chat streams and takes times.
#pragma once

#include "base/time.h"

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

namespace chicorygap::request_path {

/// Times of one stream.
struct stream_times {
    base::duration first_token{};
    /// Between consecutive tokens.
    std::vector<base::duration> gaps;
    std::uint64_t tokens = 0;
    /// True when every expected token and the terminator arrived in order.
    bool whole = false;
};

/// One connection to a router or directly to an engine.
class stream_client {
public:
    explicit stream_client(std::uint16_t port);

    /// Sends a chat request and reads its stream.
    /// @param tokens requested output.
    /// @param stop ends reading early.
    /// @param counter incremented with every token.
    stream_times run(std::uint64_t tokens, const std::atomic<bool>& stop,
                     std::atomic<std::uint64_t>& counter);

private:
    bool receive();

    Poco::Net::StreamSocket socket_;
    std::string received_;
    std::uint64_t requests_ = 0;
};

}  // namespace chicorygap::request_path
