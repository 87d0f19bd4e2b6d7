#include "queue_forecast.h"

#include <algorithm>
#include <chrono>

namespace chicorygap::scheduling {

namespace {

using namespace std::chrono_literals;

/// Longest wait that is told; later than that, the load is another one.
constexpr base::duration max_forecast = 30s;
/// Bounds of the time after which a refused caller should return. Bursts last five to nine seconds.
constexpr base::duration min_return = 250ms;
constexpr base::duration max_return = 5s;
/// Bounds of the time between two returns.
constexpr base::duration min_return_interval = 5ms;
constexpr base::duration max_return_interval = 250ms;
/// Returns at the longest time are spread over this fraction of it.
constexpr double late_return_spread = 0.3;

base::duration scaled(base::duration d, double factor) {
    using seconds = std::chrono::duration<double>;
    return std::chrono::duration_cast<base::duration>(std::min<seconds>(max_forecast, seconds{d} * factor));
}

double random_fraction(const base::random_function& random) {
    constexpr std::uint64_t steps = 1024;
    return static_cast<double>(random() % steps) / static_cast<double>(steps);
}

}  // namespace

base::duration queue_forecast::place_interval() const {
    return load_.running == 0 ? base::duration{}
                              : load_.request_time / static_cast<std::int64_t>(load_.running);
}

base::duration queue_forecast::wait(std::size_t ahead) const {
    // The queues of the peers are expected to advance as fast as the one of this daemon.
    const auto position = static_cast<double>(ahead);
    const double at_peers =
        static_cast<double>(load_.peer_waiting) * (position + 0.5) / (static_cast<double>(load_.waiting) + 1);
    return scaled(place_interval(), position + at_peers);
}

base::duration queue_forecast::start_interval() const {
    const auto own = static_cast<double>(load_.waiting) + 1;
    return scaled(place_interval(), (own + static_cast<double>(load_.peer_waiting)) / own);
}

base::duration return_schedule::next(base::duration room, base::duration interval,
                                     const base::random_function& random, base::time_point now) {
    const auto spacing =
        std::clamp(interval, base::duration{min_return_interval}, base::duration{max_return_interval});
    const auto latest = now + max_return;
    auto at = std::max(now + std::clamp(room, base::duration{min_return}, base::duration{max_return}),
                       last_ + spacing);
    if (at >= latest) {
        // The order is lost for the callers that would have to stay away longer, their spread is not.
        return scaled(max_return, 1 - late_return_spread * random_fraction(random));
    }
    last_ = at;
    return at - now + scaled(spacing, random_fraction(random));
}

}  // namespace chicorygap::scheduling
