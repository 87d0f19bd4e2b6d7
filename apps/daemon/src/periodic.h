/// @file
/// A thread that repeats one function.
#pragma once

#include "base/time.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <thread>

namespace chicorygap::daemon_app {

/// Longest pause between two calls of a function that keeps failing.
inline constexpr base::duration failure_interval_limit = std::chrono::seconds{10};

/// Calls a function every interval on its own thread until it is destroyed.
///
/// An exception of the function is logged. After each further failure the interval doubles, up to
/// `failure_interval_limit`, with random jitter: 1,700 daemons that repeat a failed call at a fixed pace
/// would flood a platform that has just returned.
class periodic {
public:
    /// @param part log prefix for failures.
    /// @param interval time between the end of a call and the next one.
    /// @param f function to call.
    periodic(std::string part, base::duration interval, std::function<void()> f);
    ~periodic();
    periodic(const periodic&) = delete;
    periodic& operator=(const periodic&) = delete;

private:
    void run();
    bool call();
    [[nodiscard]] base::duration pause_after_failure(int failures);

    std::string part_;
    base::duration interval_;
    std::function<void()> function_;
    std::mutex mutex_;
    std::condition_variable stopped_changed_;
    bool stopped_ = false;
    std::minstd_rand random_{std::random_device{}()};
    std::thread thread_;
};

}  // namespace chicorygap::daemon_app
