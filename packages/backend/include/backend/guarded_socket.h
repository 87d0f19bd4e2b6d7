/// @file
/// Stream socket with deadlines, a cancel hook and byte counters.
#pragma once

#include "base/result_code.h"
#include "base/time.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <cstdint>
#include <functional>
#include <optional>

namespace chicorygap::backend {

/// Socket whose reads and writes end at a deadline or when a hook asks for it.
///
/// POCO's streams swallow exceptions, so the reason is kept in `stopped()` and every later read or write
/// fails at once. Not safe for use by several threads. Deleted by POCO's reference count
/// only.
// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor)
class guarded_socket : public Poco::Net::StreamSocketImpl {
public:
    using stop_hook = std::function<std::optional<base::result_code>()>;

    guarded_socket() = default;
    explicit guarded_socket(poco_socket_t fd) : StreamSocketImpl{fd} {}

    /// Sets the time after which a read or write stops with `code`; nothing means no deadline.
    void set_deadline(std::optional<base::time_point> deadline, base::result_code code);
    /// Sets the longest time without any received or sent byte; zero means unlimited.
    void set_idle(base::duration idle, base::result_code code);
    /// Sets the hook that is polled at least every `interval` while waiting, and the clock.
    void set_hook(stop_hook hook, base::duration interval);
    /// Stops with `code` once more than `bytes` have been received in total; zero means unlimited.
    void set_receive_limit(std::uint64_t bytes, base::result_code code);
    /// Polls the hook if its interval has elapsed. @return true when the socket is stopped.
    bool check();
    /// Makes every later read and write fail.
    void stop(base::result_code code);
    /// Permits reads and writes again, for a final answer after a reading limit was reached.
    void resume() { stopped_.reset(); }
    /// Removes deadlines and hook, for a connection that returns to a pool.
    void release();

    /// @return why reads and writes stopped, if they did.
    [[nodiscard]] std::optional<base::result_code> stopped() const { return stopped_; }
    [[nodiscard]] std::uint64_t received() const { return received_; }
    [[nodiscard]] std::uint64_t sent() const { return sent_; }
    /// @return true once the peer has closed its side or the connection has failed.
    [[nodiscard]] bool ended() const { return ended_; }

    int receiveBytes(void* buffer, int length, int flags) override;
    int sendBytes(const void* buffer, int length, int flags) override;

protected:
    ~guarded_socket() override = default;

private:
    struct limit {
        base::time_point at;
        base::result_code code = base::result_code::internal;
    };

    void wait(short events);
    [[nodiscard]] limit nearest() const;
    [[noreturn]] void fail(base::result_code code);

    std::optional<base::time_point> deadline_;
    base::result_code deadline_code_ = base::result_code::internal;
    base::duration idle_{};
    base::result_code idle_code_ = base::result_code::internal;
    base::time_point last_io_;
    stop_hook hook_;
    base::duration interval_{};
    base::time_point next_poll_;
    std::uint64_t receive_limit_ = 0;
    base::result_code receive_limit_code_ = base::result_code::internal;
    std::uint64_t received_ = 0;
    std::uint64_t sent_ = 0;
    bool ended_ = false;
    bool late_read_used_ = false;
    std::optional<base::result_code> stopped_;
};

/// Stream socket that owns a `guarded_socket`.
class guarded_stream : public Poco::Net::StreamSocket {
public:
    /// @param impl taken over.
    explicit guarded_stream(guarded_socket* impl) : StreamSocket{static_cast<Poco::Net::SocketImpl*>(impl)} {}
};

/// Listening socket whose accepted connections are `guarded_socket`s.
class guarded_listener : public Poco::Net::ServerSocket {
public:
    /// @param address address and port; port 0 selects a free one.
    /// @param backlog length of the kernel's accept queue.
    guarded_listener(const Poco::Net::SocketAddress& address, int backlog);
};

/// @return the `guarded_socket` behind a socket, or null.
[[nodiscard]] guarded_socket* guard_of(const Poco::Net::Socket& socket);

}  // namespace chicorygap::backend
