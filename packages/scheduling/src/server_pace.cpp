#include "server_pace.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace chicorygap::scheduling {

namespace {

/// Age at which a reported pace counts 1/e. Phases of other work on a machine last about 600 ms, so that half
/// of such a phase remains on average when it is reported.
constexpr std::chrono::duration<double, std::milli> report_time_constant{300};
/// Bounds of the slowdown that a report may cause, and of the long-run speed. They keep a server with wrong
/// figures from being starved or flooded.
constexpr double min_slowdown = 0.5;
constexpr double max_slowdown = 5;
constexpr double min_speed = 0.3;
constexpr double max_speed = 3;
/// Bound of the factor by which a single measurement may differ. Queues that are not known make single
/// measurements several times too long.
constexpr double max_ratio = 6;
/// Number of measurements that the assumption of an average speed weighs. In a large fleet a daemon measures
/// a server only every few seconds, so that a slow one must show after a single measurement.
constexpr double prior_measurements = 1;
/// Number of reports that the assumption of a usual pace weighs.
constexpr double prior_reports = 4;
/// Numbers of measurements and reports over which the averages reach.
constexpr double max_measurements = 20;
constexpr double max_reports = 30;

}  // namespace

void server_pace::report(double pace, base::time_point now) {
    log_reported_ = std::log(std::clamp(pace, 1 / max_slowdown, max_slowdown));
    reported_at_ = now;
    reports_ = std::min(reports_ + 1, max_reports);
    log_usually_reported_ += (log_reported_ - log_usually_reported_) / (reports_ + prior_reports);
}

void server_pace::measure(double ratio, base::time_point now) {
    const double usual = std::clamp(ratio / slowdown(now), 1 / max_ratio, max_ratio);
    measurements_ = std::min(measurements_ + 1, max_measurements);
    log_ratio_ += (std::log(usual) - log_ratio_) / measurements_;
}

double server_pace::slowdown(base::time_point now) const {
    if (reports_ == 0) {
        return 1;
    }
    const double weight = std::exp(-std::max(base::duration{}, now - reported_at_) / report_time_constant);
    return std::clamp(std::exp(weight * (log_reported_ - log_usually_reported_)), min_slowdown, max_slowdown);
}

double server_pace::duration_ms(double usual_ms, base::time_point now) const {
    const double factor = slowdown(now);
    const double remaining_ms = report_time_constant.count();
    return usual_ms * factor <= remaining_ms ? usual_ms * factor : usual_ms + remaining_ms * (1 - 1 / factor);
}

double server_pace::speed() const {
    return std::clamp(std::exp(-log_ratio_ * confidence()), min_speed, max_speed);
}

double server_pace::confidence() const {
    return measurements_ / (measurements_ + prior_measurements);
}

}  // namespace chicorygap::scheduling
