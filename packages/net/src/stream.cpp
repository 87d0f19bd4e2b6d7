#include "net/stream.h"

#include "base/log.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <utility>

namespace chicorygap::net {

namespace {

using namespace std::chrono_literals;

/// Bytes read from a socket at once; a page multiple that holds the usual request and answer.
constexpr std::size_t read_size = std::size_t{16} * 1024;
/// Reads in one round before other sockets get their turn.
constexpr int reads_per_round = 4;
/// Output below this size is not moved to the front of the buffer, which would cost a copy for each write.
constexpr std::size_t compact_size = std::size_t{64} * 1024;

/// Kernel's receive buffer of a connection whose memory is counted. Bytes in it count toward the memory of
/// the process; the default grows to several megabytes a connection.
constexpr int receive_buffer_bytes = 64 * 1024;

/// How long the other side may take to close after all output was sent. Closing before it has read the output
/// would reset the connection when bytes of it are still unread here.
constexpr base::duration linger_time = 1s;
/// A peer that takes no data for this long is gone: a connection whose path was lost reports nothing by
/// itself.
constexpr std::chrono::milliseconds user_timeout = 3s;
/// Keep-alive probes find a silent connection that has nothing to send.
constexpr int keep_alive_idle_s = 2;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 2;

void set_options(Poco::Net::StreamSocket& s) {
    s.setBlocking(false);
    s.setNoDelay(true);
    s.setKeepAlive(true);
    s.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(user_timeout.count()));
    s.setOption(IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle_s);
    s.setOption(IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_s);
    s.setOption(IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
}

/// Poco throws where a non-blocking socket takes or holds no more bytes at the moment.
/// @return true if the connection is sound and the call has to be repeated later.
bool would_block(const Poco::Exception& e) {
    return e.code() == EAGAIN || e.code() == EWOULDBLOCK || e.code() == EINTR;
}

}  // namespace

stream::stream(loop& l, const Poco::Net::StreamSocket& socket, stream_hooks hooks)
    : loop_{l},
      socket_{socket},
      hooks_{std::make_shared<const stream_hooks>(std::move(hooks))},
      last_progress_{base::boot_clock::now()} {}

stream::~stream() {
    close();
}

std::shared_ptr<stream> stream::connect(loop& l, const address& to, base::duration timeout,
                                        stream_hooks hooks) {
    std::shared_ptr<stream> s{new stream{l, Poco::Net::StreamSocket{}, std::move(hooks)}};
    const std::weak_ptr<stream> weak = s;
    const auto fail = [weak](stream_end how) {
        if (const auto self = weak.lock()) {
            self->end(how);
        }
    };
    try {
        s->socket_.connectNB(Poco::Net::SocketAddress{to.host, to.port});
        set_options(s->socket_);
        s->start(false);
        s->deadline_timer_ = l.after(timeout, [fail] { fail(stream_end::timeout); });
    } catch (const Poco::Exception&) {
        // Reported from the loop, so that the caller has its pointer before the hook is called.
        s->deadline_timer_ = l.after({}, [fail] { fail(stream_end::connect_failed); });
    }
    return s;
}

std::shared_ptr<stream> stream::adopt(loop& l, const Poco::Net::StreamSocket& socket, stream_hooks hooks) {
    std::shared_ptr<stream> s{new stream{l, socket, std::move(hooks)}};
    set_options(s->socket_);
    s->start(true);
    return s;
}

void stream::start(bool connected) {
    connected_ = connected;
    wants_write_ = !connected;
    watch();
}

void stream::watch() {
    const std::weak_ptr<stream> weak = weak_from_this();
    loop_.watch(socket_, connected_ && !read_paused_, wants_write_, [weak](readiness r) {
        if (const auto self = weak.lock()) {
            self->on_ready(r);
        }
    });
}

void stream::write(std::string_view bytes) {
    if (closed_ || closing_) {
        return;
    }
    if (buffered() == 0) {
        last_progress_ = loop_.now();
    }
    if (const auto shared = std::exchange(shared_output_, nullptr)) {
        output_.append(*shared, std::exchange(shared_written_, 0));
    }
    output_.append(bytes);
    if (connected_ && !wants_write_) {
        flush();
    }
    output_charge_.set(output_.capacity());
}

void stream::write_shared(std::shared_ptr<const std::string> bytes) {
    if (closed_ || closing_ || bytes->empty()) {
        return;
    }
    if (shared_output_) {
        write(*bytes);
        return;
    }
    if (buffered() == 0) {
        last_progress_ = loop_.now();
    }
    shared_output_ = std::move(bytes);
    if (connected_ && !wants_write_) {
        flush();
    }
}

void stream::set_account(memory::account* a, memory::owner output) {
    output_charge_ = memory::charge{a, output};
    kernel_charge_ = memory::charge{a, memory::owner::kernel_input};
    output_charge_.set(output_.capacity());
    if (a == nullptr || closed_) {
        return;
    }
    try {
        socket_.setReceiveBufferSize(receive_buffer_bytes);
    } catch (const Poco::Exception& e) {
        base::log_line{base::log_level::warning, "net", "Receive buffer not bounded."}.field("error",
                                                                                             e.displayText());
    }
}

void stream::discard_output() {
    std::string{}.swap(output_);
    written_ = 0;
    shared_output_.reset();
    shared_written_ = 0;
    output_charge_.set(0);
}

std::size_t stream::unacknowledged() const {
    int queued = 0;
    if (!closed_ && connected_ && ::ioctl(socket_.impl()->sockfd(), SIOCOUTQ, &queued) != 0) {
        queued = 0;
    }
    return buffered() + static_cast<std::size_t>(std::max(queued, 0));
}

bool stream::peer_has_ended() const {
    if (closed_) {
        return true;
    }
    char next = 0;
    try {
        auto socket = socket_;  // reading is no constant operation of Poco's sockets
        return socket.receiveBytes(&next, 1, MSG_PEEK) == 0;
    } catch (const Poco::Exception& e) {
        failed_ = failed_ || !would_block(e);
        return failed_;
    }
}

bool stream::has_unread_bytes() const {
    try {
        return !closed_ && socket_.available() > 0;
    } catch (const Poco::Exception&) {
        return false;  // a failed connection is reported by the next read
    }
}

void stream::pause_reading(bool paused) {
    if (read_paused_ != paused) {
        read_paused_ = paused;
        kernel_charge_.set(paused ? receive_buffer_bytes : 0);
        if (!closed_ && std::exchange(unwatched_, false)) {
            watch();
        } else {
            update_interest();
        }
    }
}

void stream::close_when_drained() {
    closing_ = true;
    if (buffered() == 0) {
        shut_down_output();
    }
}

void stream::shut_down_output() {
    try {
        socket_.shutdownSend();
    } catch (const Poco::Exception&) {
        end_later(stream_end::reset);
        return;
    }
    deadline_timer_ = loop_.after(linger_time, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->end(stream_end::orderly);
        }
    });
}

void stream::close() {
    if (std::exchange(closed_, true)) {
        return;
    }
    loop_.cancel(deadline_timer_);
    loop_.unwatch(socket_);
    socket_.close();
    discard_output();
    kernel_charge_.set(0);
    hooks_ = std::make_shared<const stream_hooks>();
}

void stream::reset() {
    if (closed_) {
        return;
    }
    try {
        socket_.setLinger(true, 0);
    } catch (const Poco::Exception& e) {
        base::log_line{base::log_level::warning, "net", "Connection closed without a reset."}.field(
            "error", e.displayText());
    }
    close();
}

void stream::end(stream_end how) {
    if (closed_) {
        return;
    }
    const auto hooks = hooks_;
    close();
    if (hooks->ended) {
        hooks->ended(how);
    }
}

// A hook that is called inside `write` would change its caller's state under it.
void stream::end_later(stream_end how) {
    failed_ = true;
    discard_output();
    loop_.after({}, [weak = weak_from_this(), how] {
        if (const auto self = weak.lock()) {
            self->end(how);
        }
    });
}

void stream::on_ready(readiness r) {
    if (!connected_) {
        if (r.writable || r.failed) {
            on_connected();
        }
        return;
    }
    if (r.writable && !closed_) {
        flush();
    }
    if (closed_ || (!r.readable && !r.failed)) {
        return;
    }
    if (r.failed && read_paused_) {
        // The failure would be reported in each round. It is read with the bytes before it later.
        loop_.unwatch(socket_);
        unwatched_ = true;
        return;
    }
    read_available();
}

void stream::on_connected() {
    int ec = 0;
    socket_.impl()->getOption(SOL_SOCKET, SO_ERROR, ec);
    if (ec != 0) {
        end(stream_end::connect_failed);
        return;
    }
    connected_ = true;
    loop_.cancel(deadline_timer_);
    wants_write_ = false;
    update_interest();
    const auto hooks = hooks_;
    if (hooks->connected) {
        hooks->connected();
    }
    if (!closed_ && buffered() > 0) {
        flush();
    }
}

void stream::read_available() {
    std::array<char, read_size> buf;  // NOLINT(cppcoreguidelines-pro-type-member-init): filled by the read
    for (int i = 0; i < reads_per_round && !closed_ && !read_paused_; ++i) {
        int n = 0;
        try {
            n = socket_.receiveBytes(buf.data(), static_cast<int>(buf.size()));
        } catch (const Poco::Exception& e) {
            if (would_block(e)) {
                return;
            }
            end(stream_end::reset);
            return;
        }
        if (n == 0) {
            end(failed_ ? stream_end::reset : stream_end::orderly);
            return;
        }
        if (n < 0) {
            return;
        }
        const auto hooks = hooks_;
        if (hooks->received && !closing_) {
            hooks->received({buf.data(), static_cast<std::size_t>(n)});
        }
        if (static_cast<std::size_t>(n) < buf.size()) {
            return;
        }
    }
}

bool stream::send_buffered() {
    while (buffered() > 0) {
        const bool own = own_buffered() > 0;
        const char* first = own ? output_.data() + written_ : shared_output_->data() + shared_written_;
        int n = 0;
        try {
            n = socket_.sendBytes(first, static_cast<int>(own ? own_buffered() : shared_buffered()));
        } catch (const Poco::Exception& e) {
            if (!would_block(e)) {
                end_later(stream_end::reset);
                return false;
            }
            break;
        }
        if (n <= 0) {
            break;
        }
        (own ? written_ : shared_written_) += static_cast<std::size_t>(n);
        last_progress_ = loop_.now();
    }
    return true;
}

void stream::release_sent() {
    if (shared_output_ && shared_buffered() == 0) {
        shared_output_.reset();
        shared_written_ = 0;
    }
    if (own_buffered() == 0) {
        output_.clear();
        written_ = 0;
        if (output_.capacity() > compact_size) {
            output_.shrink_to_fit();
        }
    } else if (written_ > compact_size) {
        output_.erase(0, written_);
        written_ = 0;
    }
    output_charge_.set(output_.capacity());
}

void stream::flush() {
    if (!send_buffered()) {
        return;
    }
    release_sent();
    const bool blocked = buffered() > 0;
    const bool was_blocked = wants_write_;
    if (blocked != was_blocked) {
        wants_write_ = blocked;
        update_interest();
    }
    if (blocked) {
        return;
    }
    if (closing_) {
        shut_down_output();
        return;
    }
    const auto hooks = hooks_;
    if (was_blocked && hooks->drained) {
        hooks->drained();
    }
}

void stream::update_interest() {
    if (!closed_ && !unwatched_) {
        loop_.update(socket_, connected_ && !read_paused_, wants_write_);
    }
}

}  // namespace chicorygap::net
