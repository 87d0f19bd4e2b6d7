#include "prefill_backlog.h"

#include <algorithm>
#include <chrono>

namespace chicorygap::scheduling {

namespace {

using namespace std::chrono_literals;

/// Utilisation from which on the queue grows. The margin covers the error of the measured speeds.
constexpr double growth_threshold = 1.1;
/// Weight of the difference between a measured and an estimated wait.
constexpr double observation_weight = 0.5;
/// Upper bound of the estimate. Longer waits are found out by the streams that are overdue.
constexpr base::duration max_wait = 3s;
/// Longest time that one call accounts for; the rate at its end says nothing of earlier times.
constexpr base::duration max_step = 500ms;

}  // namespace

void prefill_backlog::advance(double utilisation, base::time_point now) {
    const auto elapsed = std::clamp(now - advanced_at_, base::duration{}, base::duration{max_step});
    advanced_at_ = now;
    const double growth =
        utilisation > growth_threshold ? utilisation - growth_threshold : std::min(0.0, utilisation - 1);
    const auto change = std::chrono::duration_cast<base::duration>(elapsed * growth);
    wait_ = std::clamp(wait_ + change, base::duration{}, base::duration{max_wait});
}

void prefill_backlog::observe(base::duration measured, base::duration estimated) {
    const auto correction =
        std::chrono::duration_cast<base::duration>((measured - estimated) * observation_weight);
    wait_ = std::clamp(wait_ + correction, base::duration{}, base::duration{max_wait});
}

}  // namespace chicorygap::scheduling
