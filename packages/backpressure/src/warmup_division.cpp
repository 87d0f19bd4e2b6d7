#include "backpressure/warmup_division.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace chicorygap::backpressure {

namespace {

/// Sets of daemons that may send to one server without knowing of each other.
constexpr double independent_sets = 2;
/// Length of the bound's window, and by how much more the starts of a window are spread: requests that were
/// started within this time may arrive within one second, since links and busy processors delay them
/// unequally.
constexpr std::chrono::duration<double> spread_window{1.25};
/// Part of the bound that the senders and their starts per second may make up: a sender that has not started
/// a request for a while may start one at once, beside the steady rate.
constexpr double usable_bound = 2.0 / 3;
/// Part of the requests per second of a cold server that is used.
constexpr double usable_rate = 0.8;

std::size_t whole(double d) {
    // A bound without any meaning of its own, such as 1e6, must not overflow.
    return static_cast<std::size_t>(std::clamp(d, 1.0, 1e6));
}

}  // namespace

warmup_division divide_warmup(const catalog::warmup& w, const warmup_bounds& b, std::size_t daemons) {
    const double bound = w.requests_per_s * b.overage + b.slack;
    const auto starts = whole(std::floor(std::min(bound / independent_sets, w.requests_per_s)));
    const auto most_senders = whole(std::floor(usable_bound * bound - usable_rate * w.requests_per_s));
    const auto senders = std::min({most_senders, starts, std::max<std::size_t>(1, daemons)});
    const std::size_t each = starts / senders;
    return {.senders = senders,
            .gap = std::chrono::ceil<base::duration>(spread_window / static_cast<double>(each))};
}

}  // namespace chicorygap::backpressure
