#include "backpressure/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace chicorygap::backpressure {

namespace {

/// Factor by which a response without a limit raises the limit. A server that omits its limit from a single
/// response then gets only a few requests more.
constexpr double raise_factor = 4;
/// Responses in a row without a limit that remove it.
constexpr std::uint32_t raises_to_remove = 3;
/// Lower bound of the rate, in requests per second: a server that takes no requests is asked again every few
/// seconds, since only its responses tell when the limit ends.
constexpr double min_rate = 0.2;

/// Relative change of a limit from which on it is reported. Servers may compute their limit anew for each
/// response.
constexpr double relevant_change = 0.05;

}  // namespace

bool rate_limit::replace(double rate, std::uint32_t raises, std::uint32_t statement,
                         base::time_point stated_at) {
    const bool was_active = active();
    const double previous = this->rate();
    rate_ = rate;
    raises_ = std::min(raises, raises_to_remove);
    statement_ = statement;
    stated_at_ = stated_at;
    const double difference = std::abs(previous - this->rate());
    return was_active != active() ||
           (was_active && difference > relevant_change * std::max(previous, this->rate()));
}

bool rate_limit::named(double rate, std::uint32_t statement, base::time_point now) {
    return replace(rate, 0, statement, now);
}

bool rate_limit::not_named(base::time_point sent_at, std::uint32_t statement) {
    if (!active() || sent_at <= stated_at_) {
        return false;
    }
    return replace(rate_, raises_ + 1, statement, sent_at);
}

bool rate_limit::merge(const limit_record& r, base::time_point now) {
    const auto stated_at = now - r.age;
    if (r.statement == statement_) {
        // Each repetition by a peer arrives a little late.
        stated_at_ = std::min(stated_at_, stated_at);
        return false;
    }
    const bool newer = statement_ == 0 || stated_at > stated_at_;
    return newer && replace(r.rate, r.raises, r.statement, stated_at);
}

bool rate_limit::active() const noexcept {
    return statement_ != 0 && raises_ < raises_to_remove;
}

double rate_limit::rate() const noexcept {
    return std::max(rate_, min_rate) * std::pow(raise_factor, raises_);
}

limit_record rate_limit::record(server_key server, base::time_point now) const {
    return {.server = server,
            .statement = statement_,
            .rate = rate_,
            .raises = raises_,
            .age = std::max(base::duration{}, now - stated_at_)};
}

}  // namespace chicorygap::backpressure
