/// @file
/// Event loop of one thread.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace Poco::Net {  // NOLINT(readability-identifier-naming)
class Socket;
}

namespace chicorygap::net {

/// Handle of a timer; 0 names none.
enum class timer_id : std::uint64_t { none = 0 };

/// Readiness of a socket.
struct readiness {
    bool readable = false;
    bool writable = false;
    bool failed = false;
};

/// Runs sockets and timers of one thread.
///
/// Concept: everything that uses a loop runs on the thread that called `run`, one callback after the other,
/// so that nothing needs a lock.
///
/// Usage:
/// @code
/// loop l;
/// l.after(std::chrono::seconds{1}, [&] { l.stop(); });
/// l.run();
/// @endcode
class loop {
public:
    using task = std::function<void()>;
    using socket_task = std::function<void(readiness)>;

    loop();
    ~loop();
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;

    /// @return the time at which the current round of callbacks began.
    [[nodiscard]] base::time_point now() const noexcept { return now_; }

    /// Calls `t` once.
    /// @param delay time from now; zero or less calls it in the next round.
    /// @return handle for `cancel`.
    timer_id after(base::duration delay, task t);

    /// Calls `t` again and again; the first time after `interval`.
    /// @return handle for `cancel`.
    timer_id every(base::duration interval, task t);

    /// Cancels a timer and clears the handle. A handle whose timer has fired is ignored.
    void cancel(timer_id& id);

    /// Calls `t` whenever the socket is ready. The socket must be non-blocking.
    /// @param s the socket; the loop keeps a reference to it until `unwatch`.
    /// @param read whether readable counts.
    /// @param write whether writable counts.
    void watch(const Poco::Net::Socket& s, bool read, bool write, socket_task t);

    /// Changes which readiness counts for a watched socket.
    void update(const Poco::Net::Socket& s, bool read, bool write);

    /// Ends the watch; its callback is not called again.
    void unwatch(const Poco::Net::Socket& s);

    /// Runs until `stop`.
    void run();

    /// Runs one round: waits for the next event, but not longer than `limit`, and calls what is due.
    void run_once(base::duration limit);

    /// @return the longest time that callbacks have kept the loop from looking at its sockets.
    [[nodiscard]] base::duration longest_busy_time() const noexcept { return longest_busy_time_; }

    /// Makes `run` return after the current round.
    void stop() noexcept { stopped_ = true; }

private:
    class impl;
    std::unique_ptr<impl> impl_;
    /// Records the time since the sockets were last looked at, and logs it if it was long.
    void record_busy_time(base::duration d);

    base::time_point now_;
    base::time_point polled_at_;  ///< end of the last wait for events
    base::duration longest_busy_time_{};
    bool stopped_ = false;
};

}  // namespace chicorygap::net
