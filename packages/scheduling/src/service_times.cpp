#include "service_times.h"

#include "server_pace.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace chicorygap::scheduling {

namespace {

/// Number of values over which the averages reach: some seconds of the requests of one daemon.
constexpr int max_values = 40;
/// Bounds of the calibration of expected times. A higher one would refuse requests for the delays of a burst
/// that has passed.
constexpr double min_first_event_ratio = 0.7;
constexpr double max_first_event_ratio = 2;
/// Shorter times are within the variation of the network.
constexpr double min_measured_ms = 1;

double to_ms(base::duration d) {
    return std::chrono::duration<double, std::milli>{d}.count();
}

base::duration from_ms(double ms) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double, std::milli>{ms});
}

}  // namespace

void service_times::average::add(double v) {
    count = std::min(count + 1, max_values);
    value += (v - value) / count;
}

void service_times::record_first_event(server_pace& pace, base::duration expected, base::duration measured,
                                       base::time_point now) {
    if (to_ms(expected) < min_measured_ms || to_ms(measured) < min_measured_ms) {
        return;
    }
    const double ratio = to_ms(measured) / to_ms(expected);
    // Compared with the average before this value, so that a single server does not set its own standard.
    pace.measure(ratio / first_event_ratio(), now);
    log_first_event_ratio_.add(
        std::log(std::clamp(ratio, min_first_event_ratio / 2, 2 * max_first_event_ratio)));
}

void service_times::record_stream(std::int64_t output_tokens, base::duration measured) {
    if (output_tokens > 0) {
        ms_per_output_token_.add(to_ms(measured) / static_cast<double>(output_tokens));
    }
}

void service_times::record_request(server_pace* pace, base::duration measured, base::time_point now) {
    const double ms = to_ms(measured);
    if (ms < min_measured_ms) {
        return;
    }
    if (pace != nullptr && request_ms_.count > 0) {
        pace->measure(ms / request_ms_.value, now);
    }
    request_ms_.add(ms);
}

double service_times::first_event_ratio() const {
    return std::clamp(std::exp(log_first_event_ratio_.value), min_first_event_ratio, max_first_event_ratio);
}

base::duration service_times::stream_time(std::int64_t output_tokens) const {
    return from_ms(ms_per_output_token_.value *
                   static_cast<double>(std::max<std::int64_t>(0, output_tokens)));
}

base::duration service_times::request_time() const {
    return from_ms(request_ms_.value);
}

}  // namespace chicorygap::scheduling
