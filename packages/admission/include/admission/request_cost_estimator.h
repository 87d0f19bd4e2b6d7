/// @file
/// Prediction of output length and service time.
#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace chicorygap::admission {

/// Predicts output tokens and service time of a class from the length of the prompt.
///
/// Keeps one exponentially weighted mean per power of two of the prompt length, and one over the class
/// for lengths without samples.
/// Usage: `e.record(prompt, output, time); e.estimate(prompt, max_tokens).output_tokens;`
class request_cost_estimator {
public:
    struct request_cost {
        double output_tokens = 0;
        base::duration service_time{};
    };

    /// @param output_tokens value returned before any sample.
    /// @param service_time value returned before any sample.
    request_cost_estimator(double output_tokens, base::duration service_time);

    /// Adds the figures of a finished request.
    void record(std::int64_t prompt_tokens, std::int64_t output_tokens, base::duration service_time);

    /// @param prompt_tokens length of the prompt.
    /// @param max_output_tokens caller's bound, which caps the estimate.
    [[nodiscard]] request_cost estimate(std::int64_t prompt_tokens,
                                        std::optional<std::int64_t> max_output_tokens) const;

    /// @return the prediction over all lengths.
    [[nodiscard]] request_cost mean() const;

private:
    struct cell {
        double tokens = 0;
        double seconds = 0;
        int samples = 0;
    };
    static constexpr std::size_t bucket_count = 20;  // prompts up to 2^20 tokens

    static std::size_t bucket(std::int64_t prompt_tokens);
    static void add(cell& c, double tokens, double seconds);

    cell overall_;
    std::array<cell, bucket_count> buckets_{};
};

}  // namespace chicorygap::admission
