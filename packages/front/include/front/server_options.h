/// @file
/// Settings of the HTTP server.
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace chicorygap::front {

/// Settings of the HTTP server. Limits bound the memory that callers can occupy.
struct server_options {
    std::string host = "127.0.0.1";
    /// 0 selects a free port.
    std::uint16_t port = 0;
    /// Connections served at the same time, one thread each.
    int threads = 2200;
    /// Connections that wait for a thread; further ones are refused with `connections_exhausted`.
    int queue = 64;
    /// One thread per connection: 2,200 default stacks of 8 MB would reserve 17 GB.
    int stack_bytes = 256 * 1024;
    std::size_t header_bytes = std::size_t{16} << 10U;
    std::size_t body_bytes = std::size_t{8} << 20U;
    /// Bodies of all connections together, in bytes.
    std::size_t total_body_bytes = std::size_t{128} << 20U;
    /// From the first byte of a request to the end of its head.
    base::duration head_limit = std::chrono::seconds{5};
    /// From the end of the head to the end of the body.
    base::duration body_limit = std::chrono::seconds{20};
    /// Longest time a write to a caller may make no progress.
    base::duration write_limit = std::chrono::seconds{10};
    /// Time an open connection may stay without a request.
    base::duration keep_alive = std::chrono::seconds{30};
    /// Deepest nesting of a JSON body.
    std::size_t json_depth = 32;
    base::now_function now = base::boot_clock::now;
    /// For the `created` field of chat answers.
    base::wall_now_function wall_now = base::wall_clock_now;
};

}  // namespace chicorygap::front
