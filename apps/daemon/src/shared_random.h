/// @file
/// Thread-safe random number generator.
#pragma once

#include <cstdint>
#include <mutex>
#include <random>

namespace chicorygap::daemon_app {

/// Random number generator shared by all threads, for decisions that are not security relevant.
class shared_random {
public:
    /// @return a uniformly distributed number. Thread-safe.
    std::uint64_t operator()() {
        const std::lock_guard lock{mutex_};
        return engine_();
    }

private:
    std::mutex mutex_;
    std::mt19937_64 engine_{std::random_device{}()};
};

}  // namespace chicorygap::daemon_app
