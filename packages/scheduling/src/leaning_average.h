/// @file
/// Average that leans to one side.
#pragma once

namespace chicorygap::scheduling {

/// Average that follows values on one side faster than on the other.
///
/// Answers the pattern of measurements that queues, misses and slow links disturb in one direction only: a
/// prompt is never read faster than the server reads, but often later.
class leaning_average {
public:
    enum class side { high, low };

    explicit leaning_average(side s) : side_{s} {}

    void add(double value);

    /// @return the average, 0 until the first value.
    [[nodiscard]] double value() const noexcept { return value_; }
    [[nodiscard]] int samples() const noexcept { return samples_; }

private:
    side side_;
    double value_ = 0;
    int samples_ = 0;
};

}  // namespace chicorygap::scheduling
