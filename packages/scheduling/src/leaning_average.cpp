#include "leaning_average.h"

#include <algorithm>

namespace chicorygap::scheduling {

namespace {

/// Share of a new value on the side that counts, and on the other: values lie on the other side three times
/// out of four once the average is steady.
constexpr double near_share = 0.15;
constexpr double far_share = 0.05;
/// Samples after which the number is not counted further.
constexpr int most_samples = 1'000;

}  // namespace

void leaning_average::add(double value) {
    samples_ = std::min(samples_ + 1, most_samples);
    if (samples_ == 1) {
        value_ = value;
        return;
    }
    const bool near = (value > value_) == (side_ == side::high);
    value_ += (near ? near_share : far_share) * (value - value_);
}

}  // namespace chicorygap::scheduling
