#include "server_health.h"

#include <algorithm>
#include <chrono>

namespace chicorygap::routing {

namespace {

constexpr double min_weight = 0.1;
// Smoothing factor of the exponential moving average, which covers about the last ten samples.
constexpr double latency_smoothing_factor = 0.2;

}  // namespace

void server_health::record_success(base::time_point now) {
    consecutive_failures_ = 0;
    if (consecutive_ejections_ > 0 && ejected_until_ && now > *ejected_until_ + options_->slow_start_window) {
        consecutive_ejections_ = 0;
    }
}

bool server_health::record_failure(base::time_point now) {
    consecutive_failures_++;
    return !ejected(now) && (consecutive_failures_ >= options_->consecutive_failures || in_slow_start(now));
}

void server_health::record_latency(base::duration latency) {
    const auto ns = static_cast<double>(latency.count());
    mean_latency_ns_ =
        latency_samples_ == 0 ? ns : mean_latency_ns_ + latency_smoothing_factor * (ns - mean_latency_ns_);
    latency_samples_++;
}

void server_health::eject(base::time_point now) {
    consecutive_ejections_++;
    ejected_until_ =
        now + std::min(options_->max_ejection_time, options_->base_ejection_time * consecutive_ejections_);
    consecutive_failures_ = 0;
    latency_samples_ = 0;
    slow_ = false;
}

void server_health::end_ejection(base::time_point now) {
    ejected_until_ = now;
}

double server_health::reduced_weight(base::time_point now) const {
    if (ejected(now)) {
        return 0;
    }
    if (slow_ || consecutive_failures_ >= options_->consecutive_failures) {
        return min_weight;
    }
    if (!in_slow_start(now)) {
        return 1;
    }
    const std::chrono::duration<double> since = now - *ejected_until_;
    const std::chrono::duration<double> total = options_->slow_start_window;
    return min_weight + (1 - min_weight) * (since / total);
}

std::optional<base::duration> server_health::mean_latency() const {
    if (latency_samples_ < options_->min_latency_samples) {
        return std::nullopt;
    }
    return base::duration{static_cast<base::duration::rep>(mean_latency_ns_)};
}

bool server_health::in_slow_start(base::time_point now) const {
    return ejected_until_ && now >= *ejected_until_ && now < *ejected_until_ + options_->slow_start_window;
}

}  // namespace chicorygap::routing
