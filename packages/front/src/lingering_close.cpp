#include "lingering_close.h"

#include <Poco/Exception.h>

#include <array>
#include <chrono>
#include <poll.h>
#include <sys/socket.h>

namespace chicorygap::front {

namespace {

constexpr std::chrono::seconds linger_limit{1};
/// One round of polling; new sockets wait at most this long to be read.
constexpr std::chrono::milliseconds round_limit{50};
constexpr std::size_t max_held = 256;

/// @return false when the peer has closed or the connection has failed.
bool drop_input(int fd) {
    std::array<char, 4096> buffer{};
    const auto n = ::recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
    return n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR));
}

}  // namespace

lingering_close::lingering_close() : thread_{[this] { run(); }} {}

lingering_close::~lingering_close() {
    {
        const std::scoped_lock lock{mutex_};
        stopping_ = true;
    }
    changed_.notify_one();
    thread_.join();
}

void lingering_close::add(const Poco::Net::StreamSocket& socket) {
    try {
        Poco::Net::StreamSocket{socket}.shutdownSend();
    } catch (const Poco::Exception&) {
        return;  // already closed by the peer
    }
    {
        const std::scoped_lock lock{mutex_};
        if (held_ >= max_held || stopping_) {
            return;
        }
        ++held_;
        added_.push_back({socket, base::boot_clock::now() + linger_limit});
    }
    changed_.notify_one();
}

void lingering_close::run() {
    std::vector<entry> entries;
    for (;;) {
        {
            std::unique_lock lock{mutex_};
            changed_.wait(lock, [&] { return stopping_ || !added_.empty() || !entries.empty(); });
            if (stopping_) {
                return;
            }
            for (auto& e : added_) {
                entries.push_back(std::move(e));
            }
            added_.clear();
        }
        const auto before = entries.size();
        poll_once(entries);
        const std::scoped_lock lock{mutex_};
        held_ -= before - entries.size();
    }
}

void lingering_close::poll_once(std::vector<entry>& entries) {
    std::vector<pollfd> fds;
    fds.reserve(entries.size());
    for (const auto& e : entries) {
        fds.push_back({e.socket.impl()->sockfd(), POLLIN, 0});
    }
    ::poll(fds.data(), fds.size(), static_cast<int>(round_limit.count()));
    const auto now = base::boot_clock::now();
    std::vector<entry> kept;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const bool open = fds[i].revents == 0 || drop_input(fds[i].fd);
        if (open && now < entries[i].until) {
            kept.push_back(std::move(entries[i]));
        }
    }
    entries.swap(kept);
}

}  // namespace chicorygap::front
