#include "connection_registry.h"

#include <sys/socket.h>

namespace chicorygap::front {

void connection_registry::add(const Poco::Net::StreamSocket& socket) {
    const std::scoped_lock lock{mutex_};
    entries_.insert_or_assign(socket.impl(), entry{socket, false});
    if (draining_) {
        ::shutdown(socket.impl()->sockfd(), SHUT_RD);
    }
}

void connection_registry::remove(const Poco::Net::StreamSocket& socket) {
    const std::scoped_lock lock{mutex_};
    entries_.erase(socket.impl());
}

bool connection_registry::begin_request(const Poco::Net::StreamSocket& socket) {
    const std::scoped_lock lock{mutex_};
    entries_.at(socket.impl()).busy = true;
    return !draining_;
}

bool connection_registry::end_request(const Poco::Net::StreamSocket& socket) {
    const std::scoped_lock lock{mutex_};
    entries_.at(socket.impl()).busy = false;
    return !draining_;
}

void connection_registry::drain() {
    const std::scoped_lock lock{mutex_};
    draining_ = true;
    for (auto& [k, e] : entries_) {
        if (!e.busy) {
            ::shutdown(e.socket.impl()->sockfd(), SHUT_RD);
        }
    }
}

void connection_registry::shutdown() {
    const std::scoped_lock lock{mutex_};
    draining_ = true;
    for (auto& [k, e] : entries_) {
        ::shutdown(e.socket.impl()->sockfd(), SHUT_RDWR);
    }
}

}  // namespace chicorygap::front
