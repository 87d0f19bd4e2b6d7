#include "socket_monitor.h"

#include <poll.h>

namespace chicorygap::front {

bool socket_monitor::gone() const {
    pollfd p{fd_, POLLRDHUP, 0};
    return ::poll(&p, 1, 0) > 0 && (p.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

}  // namespace chicorygap::front
