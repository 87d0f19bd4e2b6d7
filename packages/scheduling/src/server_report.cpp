#include "scheduling/server_report.h"

#include <cmath>

namespace chicorygap::scheduling {

namespace {

/// Upper bound of the slots and of the queue of a server, far above those of any known server.
constexpr std::uint32_t max_requests = 100'000;
/// Upper bound of a pace. A machine on which work takes 100 times as long would fail its health checks.
constexpr double max_pace = 100;

}  // namespace

bool is_plausible(const server_report& r) noexcept {
    const bool pace_valid = !r.pace || (std::isfinite(*r.pace) && *r.pace > 0 && *r.pace <= max_pace);
    return pace_valid && r.slots > 0 && r.slots <= max_requests && r.waiting <= max_requests &&
           r.running <= r.slots;
}

}  // namespace chicorygap::scheduling
