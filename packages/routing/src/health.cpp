#include "health.h"

#include <algorithm>
#include <chrono>

namespace chicorygap::routing {

namespace {

constexpr double least_weight = 0.1;
// Weight of a new latency sample; the mean follows about the last ten samples.
constexpr double latency_smoothing = 0.2;

}  // namespace

void health::succeeded(base::time_point now) {
    failures_ = 0;
    if (ejections_ > 0 && ejected_until_ && now > *ejected_until_ + options_->return_time) {
        ejections_ = 0;
    }
}

bool health::failed(base::time_point now) {
    failures_++;
    return !ejected(now) && (failures_ >= options_->consecutive_failures || returning(now));
}

void health::add_latency(base::duration latency) {
    const auto ns = static_cast<double>(latency.count());
    latency_ns_ = samples_ == 0 ? ns : latency_ns_ + latency_smoothing * (ns - latency_ns_);
    samples_++;
}

void health::eject(base::time_point now) {
    ejections_++;
    ejected_until_ = now + std::min(options_->longest, options_->first * ejections_);
    failures_ = 0;
    samples_ = 0;
    slow_ = false;
}

void health::readmit(base::time_point now) {
    ejected_until_ = now;
}

double health::reduced_weight(base::time_point now) const {
    if (ejected(now)) {
        return 0;
    }
    if (slow_ || failures_ >= options_->consecutive_failures) {
        return least_weight;
    }
    if (!returning(now)) {
        return 1;
    }
    const std::chrono::duration<double> since = now - *ejected_until_;
    const std::chrono::duration<double> total = options_->return_time;
    return least_weight + (1 - least_weight) * (since / total);
}

std::optional<base::duration> health::mean_latency() const {
    if (samples_ < options_->minimum_samples) {
        return std::nullopt;
    }
    return base::duration{static_cast<base::duration::rep>(latency_ns_)};
}

bool health::returning(base::time_point now) const {
    return ejected_until_ && now >= *ejected_until_ && now < *ejected_until_ + options_->return_time;
}

}  // namespace chicorygap::routing
