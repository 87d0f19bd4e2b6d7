#include "connection_registry.h"

#include <sys/socket.h>

namespace chicorygap::front {

void connection_registry::add(const Poco::Net::StreamSocket& socket) {
    const std::scoped_lock lock{mutex_};
    auto& e = entries_.insert_or_assign(socket.impl(), entry{socket, false, 0, std::nullopt}).first->second;
    if (draining_) {
        end(e, base::result_code::draining);
    }
}

void connection_registry::remove(const Poco::Net::StreamSocket& socket) {
    const std::scoped_lock lock{mutex_};
    entries_.erase(socket.impl());
}

std::optional<base::result_code> connection_registry::begin_request(const Poco::Net::StreamSocket& socket) {
    const std::scoped_lock lock{mutex_};
    auto& e = entries_.at(socket.impl());
    e.busy = true;
    return e.ended;
}

bool connection_registry::end_request(const Poco::Net::StreamSocket& socket) {
    const std::scoped_lock lock{mutex_};
    auto& e = entries_.at(socket.impl());
    e.busy = false;
    e.last_request = ++requests_;
    return !draining_;
}

void connection_registry::end_longest_waiting() {
    const std::scoped_lock lock{mutex_};
    entry* longest = nullptr;
    for (auto& [k, e] : entries_) {
        const bool waiting = !e.busy && !e.ended && e.last_request > 0;
        if (waiting && (longest == nullptr || e.last_request < longest->last_request)) {
            longest = &e;
        }
    }
    if (longest != nullptr) {
        end(*longest, base::result_code::connections_exhausted);
    }
}

void connection_registry::drain() {
    const std::scoped_lock lock{mutex_};
    draining_ = true;
    for (auto& [k, e] : entries_) {
        if (!e.busy) {
            end(e, base::result_code::draining);
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

void connection_registry::end(entry& e, base::result_code code) {
    e.ended = code;
    ::shutdown(e.socket.impl()->sockfd(), SHUT_RD);
}

}  // namespace chicorygap::front
