/// @file
/// Thread that calls a function periodically.
#pragma once

#include "base/time.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <thread>

namespace chicorygap::daemon_app {

/// Longest delay between two calls of a function that keeps failing.
inline constexpr base::duration max_failure_delay = std::chrono::seconds{10};

/// Calls a function periodically on its own thread until this object is destroyed.
///
/// Logs exceptions of the function. The interval doubles with each consecutive failure, up to
/// `max_failure_delay`, and has random jitter: 1,700 daemons that retry at a fixed interval would overload a
/// platform that has just recovered.
class periodic_thread {
public:
    /// @param log_component component name in the log lines of failures.
    /// @param interval time between the end of a call and the start of the next one.
    /// @param f function to call.
    periodic_thread(std::string log_component, base::duration interval, std::function<void()> f);
    ~periodic_thread();
    periodic_thread(const periodic_thread&) = delete;
    periodic_thread& operator=(const periodic_thread&) = delete;

private:
    void run();
    bool call();
    [[nodiscard]] base::duration failure_delay(int failures);

    std::string log_component_;
    base::duration interval_;
    std::function<void()> function_;
    std::mutex mutex_;
    std::condition_variable stop_requested_;
    bool stopped_ = false;
    std::minstd_rand random_engine_{std::random_device{}()};
    std::thread thread_;
};

}  // namespace chicorygap::daemon_app
