/// @file
/// Which connections of callers are closed when memory is scarce.
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chicorygap::memory {
class account;
}

namespace chicorygap::http {

/// What a connection of a caller is doing.
enum class connection_use : std::uint8_t {
    idle,             ///< no request is being read or answered
    unfinished_head,  ///< the head of a request is not complete
    request,          ///< a body is being read, or a request is being answered
};

/// What the decision needs to know of one connection.
struct held_connection {
    connection_use use = connection_use::idle;
    /// Bytes that closing it gives back.
    std::size_t bytes = 0;
    /// When the last input arrived.
    base::time_point last_input;
};

/// Decides which connections are closed when memory is scarce.
///
/// Concept: answers clients that hold heads or connections open while responses and bodies of others need the
/// memory. From the level `critical` on, unfinished heads are given up, those that hold most first, until
/// the level is left; heads of a few hundred bytes, as of callers that are just sending, are left alone. At
/// the level `exceeded` all unfinished heads and then idle connections go, those without input for longest
/// first. Connections with a request are never chosen.
///
/// @return indices into `connections`, in the order in which they are to be closed.
std::vector<std::size_t> connections_to_close(const std::vector<held_connection>& connections,
                                              const memory::account& a);

}  // namespace chicorygap::http
