#include "net/loop.h"

#include "base/log.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>

#include <algorithm>
#include <exception>
#include <map>
#include <thread>
#include <unordered_map>
#include <utility>

namespace chicorygap::net {

namespace {

using namespace std::chrono_literals;

/// Longest wait of one round, so that signals that set a flag are seen. A tenth of a second is short against
/// the seconds that a shutdown takes.
constexpr base::duration longest_wait = 100ms;

/// Callbacks that take longer than this together are logged: callers and servers notice it.
constexpr base::duration logged_busy_time = 250ms;

int poll_mode(bool read, bool write) {
    int mode = Poco::Net::PollSet::POLL_ERROR;
    mode |= read ? Poco::Net::PollSet::POLL_READ : 0;
    mode |= write ? Poco::Net::PollSet::POLL_WRITE : 0;
    return mode;
}

/// A callback that throws must not end the process, because all other connections would be cut.
void call_guarded(const std::function<void()>& f) {
    try {
        f();
    } catch (const std::exception& e) {
        base::log_line{base::log_level::error, "net", "Callback failed."}.field("error", e.what());
    }
}

}  // namespace

class loop::impl {
public:
    struct timer {
        std::uint64_t number = 0;
        base::duration interval{};
        std::shared_ptr<const task> call;
    };
    using timer_map = std::multimap<base::time_point, timer>;

    Poco::Net::PollSet polled;
    std::unordered_map<const void*, std::shared_ptr<const socket_task>> sockets;
    timer_map timers;
    std::unordered_map<std::uint64_t, timer_map::iterator> by_number;
    std::uint64_t last_number = 0;

    void schedule(base::time_point at, const timer& t) { by_number[t.number] = timers.emplace(at, t); }

    void fire_due(base::time_point now) {
        while (!timers.empty() && timers.begin()->first <= now) {
            const auto t = timers.begin()->second;
            timers.erase(timers.begin());
            by_number.erase(t.number);
            if (t.interval > base::duration::zero()) {
                schedule(now + t.interval, t);
            }
            call_guarded(*t.call);
        }
    }

    [[nodiscard]] base::duration wait_time(base::time_point now, base::duration limit) const {
        auto wait = std::min(limit, longest_wait);
        if (!timers.empty()) {
            wait = std::min(wait, timers.begin()->first - now);
        }
        return std::max(wait, base::duration::zero());
    }

    /// @param polled_at set to the end of the wait.
    void dispatch(base::duration wait, base::time_point& polled_at) {
        if (sockets.empty()) {
            std::this_thread::sleep_for(wait);  // an empty poll set returns at once
            polled_at = base::boot_clock::now();
            return;
        }
        // Rounded up: a wait that ends before the timer is due would only start another round.
        const auto micros = std::chrono::ceil<std::chrono::microseconds>(wait);
        const auto ready = polled.poll(Poco::Timespan{micros.count()});
        polled_at = base::boot_clock::now();
        for (const auto& [socket, mode] : ready) {
            const auto it = sockets.find(socket.impl());
            if (it == sockets.end()) {
                continue;  // unwatched by an earlier callback of this round
            }
            const auto call = it->second;
            const readiness r{(mode & Poco::Net::PollSet::POLL_READ) != 0,
                              (mode & Poco::Net::PollSet::POLL_WRITE) != 0,
                              (mode & Poco::Net::PollSet::POLL_ERROR) != 0};
            call_guarded([&] { (*call)(r); });
        }
    }
};

loop::loop() : impl_{std::make_unique<impl>()}, now_{base::boot_clock::now()}, polled_at_{now_} {}
loop::~loop() = default;

timer_id loop::after(base::duration delay, task t) {
    const auto number = ++impl_->last_number;
    impl_->schedule(base::boot_clock::now() + delay,
                    {number, {}, std::make_shared<const task>(std::move(t))});
    return timer_id{number};
}

timer_id loop::every(base::duration interval, task t) {
    const auto number = ++impl_->last_number;
    impl_->schedule(base::boot_clock::now() + interval,
                    {number, interval, std::make_shared<const task>(std::move(t))});
    return timer_id{number};
}

void loop::cancel(timer_id& id) {
    const auto it = impl_->by_number.find(static_cast<std::uint64_t>(std::exchange(id, timer_id::none)));
    if (it != impl_->by_number.end()) {
        impl_->timers.erase(it->second);
        impl_->by_number.erase(it);
    }
}

void loop::watch(const Poco::Net::Socket& s, bool read, bool write, socket_task t) {
    impl_->sockets[s.impl()] = std::make_shared<const socket_task>(std::move(t));
    impl_->polled.add(s, poll_mode(read, write));
}

void loop::update(const Poco::Net::Socket& s, bool read, bool write) {
    impl_->polled.update(s, poll_mode(read, write));
}

void loop::unwatch(const Poco::Net::Socket& s) {
    if (impl_->sockets.erase(s.impl()) > 0) {
        impl_->polled.remove(s);
    }
}

void loop::run() {
    stopped_ = false;
    while (!stopped_) {
        run_once(longest_wait);
    }
}

void loop::run_once(base::duration limit) {
    now_ = base::boot_clock::now();
    impl_->fire_due(now_);
    const auto wait_started = base::boot_clock::now();
    record_busy_time(wait_started - polled_at_);
    impl_->dispatch(impl_->wait_time(wait_started, limit), polled_at_);
}

void loop::record_busy_time(base::duration d) {
    longest_busy_time_ = std::max(longest_busy_time_, d);
    if (d >= logged_busy_time) {
        base::log_line{base::log_level::warning, "net", "Event loop was busy."}.field(
            "busy_ms", std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
    }
}

}  // namespace chicorygap::net
