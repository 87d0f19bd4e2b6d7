/// @file
/// A thread that repeats one function.
#pragma once

#include "base/time.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace chicorygap::daemon_app {

/// Calls a function every interval on its own thread until it is destroyed.
/// An exception of the function is logged and the next call is made as usual.
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

    std::string part_;
    base::duration interval_;
    std::function<void()> function_;
    std::mutex mutex_;
    std::condition_variable stopped_changed_;
    bool stopped_ = false;
    std::thread thread_;
};

}  // namespace chicorygap::daemon_app
