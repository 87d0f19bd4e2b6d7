/// @file
/// Caller monitor on a socket.
#pragma once

#include "front/caller_monitor.h"

namespace chicorygap::front {

/// Asks the kernel whether the peer has closed. Also works while unread pipelined bytes wait in the socket.
class socket_monitor : public caller_monitor {
public:
    /// @param fd socket that stays open while the monitor is used.
    explicit socket_monitor(int fd) : fd_{fd} {}
    [[nodiscard]] bool gone() const override;

private:
    int fd_;
};

}  // namespace chicorygap::front
