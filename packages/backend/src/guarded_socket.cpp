#include "backend/guarded_socket.h"

#include "base/error.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocketImpl.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace chicorygap::backend {

namespace {

/// Longest single poll, so that the timeout fits poll's int.
constexpr std::chrono::milliseconds max_poll{60'000};

int poll_timeout(base::duration d) {
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(d);
    return static_cast<int>(std::clamp(ms, std::chrono::milliseconds{0}, max_poll).count());
}

// POCO deletes socket implementations by reference count only.
// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor)
class guarded_listener_impl : public Poco::Net::ServerSocketImpl {
public:
    Poco::Net::SocketImpl* acceptConnection(Poco::Net::SocketAddress& client) override {
        sockaddr_storage address{};
        socklen_t length = sizeof address;
        int fd = -1;
        do {
            fd = ::accept4(sockfd(), reinterpret_cast<sockaddr*>(&address), &length, SOCK_CLOEXEC);
        } while (fd < 0 && errno == EINTR);
        if (fd < 0) {
            error();
        }
        // Without this a token waits for the acknowledgement of the previous one.
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        client = Poco::Net::SocketAddress{reinterpret_cast<const sockaddr*>(&address), length};
        return new guarded_socket{fd};
    }

protected:
    ~guarded_listener_impl() override = default;
};

}  // namespace

void guarded_socket::set_deadline(std::optional<base::time_point> deadline, base::result_code code) {
    deadline_ = deadline;
    deadline_code_ = code;
    late_read_used_ = false;
    last_io_ = base::boot_clock::now();
}

void guarded_socket::set_idle(base::duration idle, base::result_code code) {
    idle_ = idle;
    idle_code_ = code;
    last_io_ = base::boot_clock::now();
}

void guarded_socket::set_hook(stop_hook hook, base::duration interval) {
    hook_ = std::move(hook);
    interval_ = interval;
    next_poll_ = base::boot_clock::now();
}

void guarded_socket::set_receive_limit(std::uint64_t bytes, base::result_code code) {
    receive_limit_ = bytes;
    receive_limit_code_ = code;
}

void guarded_socket::stop(base::result_code code) {
    if (!stopped_) {
        stopped_ = code;
    }
}

void guarded_socket::release() {
    deadline_.reset();
    idle_ = {};
    hook_ = nullptr;
}

bool guarded_socket::check() {
    if (stopped_ || !hook_) {
        return stopped_.has_value();
    }
    const auto now = base::boot_clock::now();
    if (now < next_poll_) {
        return false;
    }
    next_poll_ = now + interval_;
    if (const auto reason = hook_()) {
        stop(*reason);
    }
    return stopped_.has_value();
}

int guarded_socket::receiveBytes(void* buffer, int length, int flags) {
    for (;;) {
        wait(POLLIN);
        const auto n = ::recv(sockfd(), buffer, static_cast<std::size_t>(length), flags | MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            continue;
        }
        if (n <= 0) {
            ended_ = true;
        }
        if (n < 0) {
            throw Poco::Net::ConnectionResetException{"receive failed", errno};
        }
        last_io_ = base::boot_clock::now();
        received_ += static_cast<std::uint64_t>(n);
        if (receive_limit_ > 0 && received_ > receive_limit_) {
            fail(receive_limit_code_);
        }
        return static_cast<int>(n);
    }
}

int guarded_socket::sendBytes(const void* buffer, int length, int flags) {
    const auto* data = static_cast<const char*>(buffer);
    int done = 0;
    last_io_ = base::boot_clock::now();
    while (done < length) {
        if (check()) {
            fail(*stopped_);
        }
        const auto left = static_cast<std::size_t>(length - done);
        const auto n = ::send(sockfd(), data + done, left, flags | MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n > 0) {
            done += static_cast<int>(n);
            sent_ += static_cast<std::uint64_t>(n);
            last_io_ = base::boot_clock::now();
        } else if (n < 0 && errno == EAGAIN) {
            wait(POLLOUT);
        } else if (n < 0 && errno != EINTR) {
            ended_ = true;
            throw Poco::Net::ConnectionResetException{"send failed", errno};
        }
    }
    return done;
}

void guarded_socket::wait(short events) {
    for (;;) {
        if (check()) {
            fail(*stopped_);
        }
        const auto now = base::boot_clock::now();
        const auto end = nearest();
        const auto until = hook_ ? std::min(end.at, next_poll_) : end.at;
        pollfd p{sockfd(), events, 0};
        const bool expired = now >= end.at;
        const int n = ::poll(&p, 1, expired ? 0 : poll_timeout(until - now));
        // Bytes that arrived while the process was paused are read once; a peer that trickles bytes is not
        // spared.
        const bool allowed = !expired || !late_read_used_;
        if (n > 0 && allowed) {
            late_read_used_ = expired;
            return;
        }
        if (expired) {
            fail(end.code);
        }
        if (n < 0 && errno != EINTR) {
            throw Poco::Net::NetException{"poll failed", errno};
        }
    }
}

guarded_socket::limit guarded_socket::nearest() const {
    limit l{base::time_point::max(), base::result_code::internal};
    if (deadline_) {
        l = {*deadline_, deadline_code_};
    }
    if (idle_ > base::duration::zero() && last_io_ + idle_ < l.at) {
        l = {last_io_ + idle_, idle_code_};
    }
    return l;
}

void guarded_socket::fail(base::result_code code) {
    stop(code);
    throw base::error{code, "connection stopped"};
}

guarded_listener::guarded_listener(const Poco::Net::SocketAddress& address, int backlog)
    : ServerSocket{new guarded_listener_impl, true} {
    bind(address, true);
    listen(backlog);
}

guarded_socket* guard_of(const Poco::Net::Socket& socket) {
    return dynamic_cast<guarded_socket*>(socket.impl());
}

}  // namespace chicorygap::backend
