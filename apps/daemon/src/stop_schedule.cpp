#include "stop_schedule.h"

#include <algorithm>

namespace chicorygap::daemon_app {

namespace {

using namespace std::chrono_literals;

/// Time after a stop request until the platform's load balancer opens no new connections to this daemon. It
/// probes readiness once a second and removes a daemon after two failed probes.
constexpr base::duration load_balancer_removal_time = 2600ms;
/// Time between the end of the requests and the time at which the platform would kill the process; in a short
/// grace this part of it.
constexpr base::duration max_stop_margin = 700ms;
constexpr int stop_margin_divisor = 5;
/// Part of that time in which the last answers are sent.
constexpr int flush_divisor = 4;

}  // namespace

stop_schedule make_stop_schedule(base::duration stop_timeout) {
    const auto margin = std::min<base::duration>(max_stop_margin, stop_timeout / stop_margin_divisor);
    const auto end = stop_timeout - margin;
    return {.accept_all_until = std::min<base::duration>(load_balancer_removal_time, end / 2),
            .end_requests_at = end,
            .exit_at = end + margin / flush_divisor};
}

}  // namespace chicorygap::daemon_app
