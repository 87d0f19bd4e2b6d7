#include "asymmetric_average.h"

#include <algorithm>

namespace chicorygap::scheduling {

namespace {

/// Weights of a new value on the side of the bias and on the other side. With the ratio of 3, three of four
/// values lie on the other side once the average has converged.
constexpr double biased_weight = 0.15;
constexpr double opposite_weight = 0.05;
/// Upper limit of the sample count.
constexpr int max_samples = 1'000;

}  // namespace

void asymmetric_average::add(double value) {
    samples_ = std::min(samples_ + 1, max_samples);
    if (samples_ == 1) {
        value_ = value;
        return;
    }
    const bool biased = (value > value_) == (bias_ == bias::high);
    value_ += (biased ? biased_weight : opposite_weight) * (value - value_);
}

}  // namespace chicorygap::scheduling
