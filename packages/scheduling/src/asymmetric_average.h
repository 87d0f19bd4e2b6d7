/// @file
/// Exponential moving average with different weights for higher and lower values.
#pragma once

namespace chicorygap::scheduling {

/// Exponential moving average that follows values on one side of it faster than values on the other side.
///
/// For measurements with one-sided noise: queues, cache misses and slow links can only delay the prefill of a
/// prompt, so that the measured speed is at most the real one.
class asymmetric_average {
public:
    /// Side of the average on which values have the larger weight.
    enum class bias { high, low };

    explicit asymmetric_average(bias b) : bias_{b} {}

    void add(double value);

    /// @return the average; 0 until the first value.
    [[nodiscard]] double value() const noexcept { return value_; }
    /// @return number of added values; not counted beyond an upper limit.
    [[nodiscard]] int samples() const noexcept { return samples_; }

private:
    bias bias_;
    double value_ = 0;
    int samples_ = 0;
};

}  // namespace chicorygap::scheduling
