#include "server_health.h"

#include <algorithm>

namespace chicorygap::scheduling {

namespace {

using namespace std::chrono_literals;

/// Factor on the weight of older outcomes for each new one: about the last 20 outcomes count.
constexpr double outcome_decay = 0.95;
/// Minimum weight of the outcomes for a meaningful failure ratio.
constexpr double min_samples = 6;
/// Excess of a server's failure ratio over that of the service from which on the server is ejected.
constexpr double max_excess_failure_ratio = 0.25;
/// Duration of the first ejection; doubles with each further ejection until a request succeeds.
constexpr base::duration base_ejection_time = 500ms;
/// Bounds the ejection time, so that a recovered server is used again within a few seconds.
constexpr int max_ejection_doublings = 3;

}  // namespace

void server_health::record(outcome o, double service_failure_ratio, base::time_point now) {
    if (o == outcome::cancelled) {
        return;
    }
    if (o == outcome::replaced) {
        replaced_ = true;
        return;
    }
    const bool failure = o == outcome::failed || o == outcome::unreachable;
    samples_ = samples_ * outcome_decay + 1;
    failures_ = failures_ * outcome_decay + (failure ? 1 : 0);
    if (o == outcome::unreachable) {
        if (++consecutive_unreachable_ >= 2) {
            eject(now);
        }
        return;
    }
    consecutive_unreachable_ = 0;
    if (o == outcome::success) {
        consecutive_ejections_ = 0;
    }
    if (failure && samples_ >= min_samples &&
        failures_ / samples_ > service_failure_ratio + max_excess_failure_ratio) {
        eject(now);
        samples_ = 0;  // after the ejection only new outcomes count
        failures_ = 0;
    }
}

void server_health::eject(base::time_point now) {
    ejected_until_ =
        now + base_ejection_time * (1 << std::min(consecutive_ejections_, max_ejection_doublings));
    ++consecutive_ejections_;
}

}  // namespace chicorygap::scheduling
