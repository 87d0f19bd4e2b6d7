/// @file
/// Time types. Decision code takes a `time_point` argument and never reads a clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

namespace chicorygap::base {

/// Clock tag for CLOCK_BOOTTIME, which also counts while the VM is suspended.
/// A lease that lapses during a suspension is therefore seen as lapsed on resume.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// @return the time since boot, including suspension.
    static time_point now() noexcept;
};

/// Monotonic time of this VM. Never compared with another VM's.
using time_point = boot_clock::time_point;
using duration = std::chrono::nanoseconds;

/// Wall time, used only for the borders of usage windows and for display.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// @return the wall time of this VM.
wall_time wall_clock_now() noexcept;

/// Source of monotonic time; adapters use `boot_clock::now`, tests a manual clock.
using now_function = std::function<time_point()>;

/// Source of wall time.
using wall_now_function = std::function<wall_time()>;

/// Longest duration accepted from messages and stored records. It can be added to any `time_point` of a VM
/// without overflow.
inline constexpr duration longest_stored_duration = std::chrono::hours{24 * 365 * 100};

/// @param ms milliseconds as received.
/// @return the duration, or nothing when it is negative or longer than `longest_stored_duration`.
constexpr std::optional<duration> stored_duration(std::int64_t ms) {
    using std::chrono::milliseconds;
    if (ms < 0 || ms > std::chrono::duration_cast<milliseconds>(longest_stored_duration).count()) {
        return std::nullopt;
    }
    return milliseconds{ms};
}

}  // namespace chicorygap::base
