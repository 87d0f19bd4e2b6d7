#include "prefill_speed_estimator.h"

#include <chrono>

namespace chicorygap::scheduling {

namespace {

/// Shorter prompts need hardly more time for their prefill than one step of the server; they measure the base
/// latency.
constexpr std::int64_t base_latency_tokens_limit = 500;
/// For shorter prompts the time to first token depends on the network more than on the prefill speed.
constexpr std::int64_t min_speed_tokens = 1'500;
/// Shorter prefill times are within the variation of the base latency.
constexpr double min_prefill_ms = 8;

}  // namespace

double prefill_speed_estimator::observe(std::int64_t prefill_tokens, base::duration time_to_first_token) {
    const double ms = std::chrono::duration<double, std::milli>{time_to_first_token}.count();
    if (prefill_tokens < base_latency_tokens_limit) {
        base_latency_ms_.add(ms);
        return 0;
    }
    const double prefill_ms = ms - base_latency_ms_.value();
    if (prefill_tokens < min_speed_tokens || prefill_ms <= min_prefill_ms) {
        return 0;
    }
    const double speed = static_cast<double>(prefill_tokens) / prefill_ms;
    prefill_tokens_per_ms_.add(speed);
    return speed;
}

}  // namespace chicorygap::scheduling
