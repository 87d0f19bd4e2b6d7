#include "admission/request_cost_estimator.h"

#include <algorithm>
#include <bit>

namespace chicorygap::admission {

namespace {

// A change of length shows within about 20 requests; a smaller gain reacts too slowly to a new prompt
// template.
constexpr double gain = 0.1;
// A bucket with fewer samples is dominated by single requests, so the class mean is used.
constexpr int min_bucket_samples = 5;

base::duration to_duration(double seconds) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>{seconds});
}

}  // namespace

request_cost_estimator::request_cost_estimator(double output_tokens, base::duration service_time)
    : overall_{output_tokens, std::chrono::duration<double>{service_time}.count(), 0} {}

std::size_t request_cost_estimator::bucket(std::int64_t prompt_tokens) {
    const auto n = static_cast<std::uint64_t>(std::max<std::int64_t>(prompt_tokens, 1));
    return std::min<std::size_t>(static_cast<std::size_t>(std::bit_width(n)) - 1, bucket_count - 1);
}

void request_cost_estimator::add(cell& c, double tokens, double seconds) {
    ++c.samples;
    // A plain mean over the first samples removes the influence of the initial value.
    const double g = std::max(gain, 1.0 / c.samples);
    c.tokens += g * (tokens - c.tokens);
    c.seconds += g * (seconds - c.seconds);
}

void request_cost_estimator::record(std::int64_t prompt_tokens, std::int64_t output_tokens,
                                    base::duration service_time) {
    const auto tokens = static_cast<double>(output_tokens);
    const double seconds = std::chrono::duration<double>{service_time}.count();
    add(overall_, tokens, seconds);
    add(buckets_[bucket(prompt_tokens)], tokens, seconds);
}

request_cost_estimator::request_cost request_cost_estimator::estimate(
    std::int64_t prompt_tokens, std::optional<std::int64_t> max_output_tokens) const {
    const cell& b = buckets_[bucket(prompt_tokens)];
    const cell& c = b.samples >= min_bucket_samples ? b : overall_;
    const double cap = max_output_tokens ? static_cast<double>(*max_output_tokens) : c.tokens;
    const double tokens = std::min(c.tokens, cap);
    const double part = c.tokens > 0 ? tokens / c.tokens : 1;
    return {tokens, to_duration(c.seconds * part)};
}

request_cost_estimator::request_cost request_cost_estimator::mean() const {
    return {overall_.tokens, to_duration(overall_.seconds)};
}

}  // namespace chicorygap::admission
