/// @file
/// Prediction of the output length and the service time of requests.
#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace chicorygap::admission {

/// Predicts the output tokens and the service time of a request from the length of its prompt.
///
/// Keeps an exponentially weighted moving average per power of two of the prompt length, and one over all
/// requests of the class for prompt lengths with too few samples.
/// Usage: `e.record(prompt, output, time); e.estimate(prompt, max_tokens).output_tokens;`
class request_cost_estimator {
public:
    struct request_cost {
        double output_tokens = 0;
        base::duration service_time{};
    };

    /// @param output_tokens estimate before the first sample.
    /// @param service_time estimate before the first sample.
    request_cost_estimator(double output_tokens, base::duration service_time);

    /// Adds a finished request as a sample.
    void record(std::int64_t prompt_tokens, std::int64_t output_tokens, base::duration service_time);

    /// @param prompt_tokens length of the prompt.
    /// @param max_output_tokens limit set by the caller, which caps the estimate.
    /// @return the predicted cost of the request.
    [[nodiscard]] request_cost estimate(std::int64_t prompt_tokens,
                                        std::optional<std::int64_t> max_output_tokens) const;

    /// @return the average cost over all prompt lengths.
    [[nodiscard]] request_cost mean() const;

private:
    struct moving_average {
        double output_tokens = 0;
        double service_seconds = 0;
        int samples = 0;
    };
    static constexpr std::size_t bucket_count = 20;  // for 1 to 2^20 prompt tokens

    static std::size_t bucket_index(std::int64_t prompt_tokens);
    static void add_sample(moving_average& average, double output_tokens, double service_seconds);

    moving_average class_average_;
    std::array<moving_average, bucket_count> buckets_{};
};

}  // namespace chicorygap::admission
