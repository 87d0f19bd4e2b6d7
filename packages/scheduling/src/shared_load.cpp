#include "shared_load.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace chicorygap::scheduling {

namespace {

/// Part by which a report that names fewer requests than are known is followed.
constexpr double decrease_weight = 0.5;
/// Time within which a report belongs to the response that carried it.
constexpr base::duration same_response = std::chrono::milliseconds{20};
/// Time for which peers are told of a full server beyond the time for which it counts as full here; beacons
/// are 150 to 350 ms apart.
constexpr base::duration extra_told_time = std::chrono::milliseconds{100};

}  // namespace

void shared_load::report(const server_report& r, std::uint32_t local_running, base::duration lifetime,
                         base::time_point now) {
    report_ = r;
    local_running_at_report_ = local_running;
    reported_at_ = now;
    lifetime_ = lifetime;
    if (r.pace) {
        pace.report(*r.pace, now);
    }
}

bool shared_load::told_full(base::time_point now) const {
    return full_until_ != base::time_point{} && now < full_until_ + extra_told_time;
}

bool shared_load::reported_room(base::time_point now) const {
    return lifetime_ > base::duration{} && now - reported_at_ <= same_response &&
           report_.running + report_.waiting < report_.slots;
}

std::uint32_t shared_load::requests(std::uint32_t known, std::uint32_t local_running,
                                    base::time_point now) const {
    const auto age = now - reported_at_;
    if (lifetime_ <= base::duration{} || age >= lifetime_) {
        return known;
    }
    using seconds = std::chrono::duration<double>;
    const double fresh = 1 - std::max(0.0, seconds{age} / seconds{lifetime_});
    const double since_report = static_cast<double>(local_running) - local_running_at_report_;
    const double reported = static_cast<double>(report_.running) + report_.waiting + since_report;
    const double weight = reported > known ? fresh : fresh * decrease_weight;
    const double sum = known + weight * (reported - known);
    return std::max(local_running, static_cast<std::uint32_t>(std::lround(std::max(0.0, sum))));
}

}  // namespace chicorygap::scheduling
