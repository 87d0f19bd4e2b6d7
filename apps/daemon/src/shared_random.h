/// @file
/// Random numbers of the daemon.
#pragma once

#include <cstdint>
#include <mutex>
#include <random>

namespace chicorygap::daemon_app {

/// Random numbers for decisions that are not security relevant; one generator for all threads.
class shared_random {
public:
    /// @return a uniformly distributed number. Safe for use by several threads.
    std::uint64_t operator()() {
        const std::lock_guard lock{mutex_};
        return engine_();
    }

private:
    std::mutex mutex_;
    std::mt19937_64 engine_{std::random_device{}()};
};

}  // namespace chicorygap::daemon_app
