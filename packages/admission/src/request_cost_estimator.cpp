#include "admission/request_cost_estimator.h"

#include <algorithm>
#include <bit>

namespace chicorygap::admission {

namespace {

// Follows a change of the output length within about 20 requests. A smaller factor reacts too slowly to a new
// prompt template.
constexpr double smoothing_factor = 0.1;
// With fewer samples, single requests dominate the average of a bucket, so the class average is used.
constexpr int min_bucket_samples = 5;

base::duration to_duration(double seconds) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>{seconds});
}

}  // namespace

request_cost_estimator::request_cost_estimator(double output_tokens, base::duration service_time)
    : class_average_{output_tokens, std::chrono::duration<double>{service_time}.count(), 0} {}

std::size_t request_cost_estimator::bucket_index(std::int64_t prompt_tokens) {
    const auto n = static_cast<std::uint64_t>(std::max<std::int64_t>(prompt_tokens, 1));
    return std::min<std::size_t>(static_cast<std::size_t>(std::bit_width(n)) - 1, bucket_count - 1);
}

void request_cost_estimator::add_sample(moving_average& average, double output_tokens,
                                        double service_seconds) {
    ++average.samples;
    // The arithmetic mean of the first samples removes the influence of the initial value.
    const double weight = std::max(smoothing_factor, 1.0 / average.samples);
    average.output_tokens += weight * (output_tokens - average.output_tokens);
    average.service_seconds += weight * (service_seconds - average.service_seconds);
}

void request_cost_estimator::record(std::int64_t prompt_tokens, std::int64_t output_tokens,
                                    base::duration service_time) {
    const auto tokens = static_cast<double>(output_tokens);
    const double service_seconds = std::chrono::duration<double>{service_time}.count();
    add_sample(class_average_, tokens, service_seconds);
    add_sample(buckets_[bucket_index(prompt_tokens)], tokens, service_seconds);
}

request_cost_estimator::request_cost request_cost_estimator::estimate(
    std::int64_t prompt_tokens, std::optional<std::int64_t> max_output_tokens) const {
    const moving_average& bucket = buckets_[bucket_index(prompt_tokens)];
    const moving_average& average = bucket.samples >= min_bucket_samples ? bucket : class_average_;
    const double cap = max_output_tokens ? static_cast<double>(*max_output_tokens) : average.output_tokens;
    const double tokens = std::min(average.output_tokens, cap);
    const double fraction = average.output_tokens > 0 ? tokens / average.output_tokens : 1;
    return {tokens, to_duration(average.service_seconds * fraction)};
}

request_cost_estimator::request_cost request_cost_estimator::mean() const {
    return {class_average_.output_tokens, to_duration(class_average_.service_seconds)};
}

}  // namespace chicorygap::admission
