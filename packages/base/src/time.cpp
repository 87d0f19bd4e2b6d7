#include "base/time.h"

#include <ctime>

namespace chicorygap::base {

boot_clock::time_point boot_clock::now() noexcept {
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return time_point{std::chrono::seconds{ts.tv_sec} + std::chrono::nanoseconds{ts.tv_nsec}};
}

wall_time wall_clock_now() noexcept {
    return std::chrono::time_point_cast<wall_time::duration>(std::chrono::system_clock::now());
}

}  // namespace chicorygap::base
