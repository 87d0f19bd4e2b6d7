/// @file
/// Time types. Decision code takes a `time_point` argument and never reads a clock.
#pragma once

#include <chrono>
#include <functional>

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

/// Source of monotonic time; adapters use `boot_clock::now`, tests a manual clock.
using now_function = std::function<time_point()>;

/// Source of wall time.
using wall_now_function = std::function<wall_time()>;

}  // namespace chicorygap::base
