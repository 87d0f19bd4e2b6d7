#include "retry/fleet_share.h"

#include <algorithm>

namespace chicorygap::retry {

std::size_t fleet_share::update(std::size_t live, base::time_point now) {
    merge({live, now});
    while (now - largest_.front().last_seen > memory_) {
        largest_.pop_front();
    }
    return largest_.front().live;
}

void fleet_share::merge(const fleet_observation& x) {
    const auto covers = [](const fleet_observation& a, const fleet_observation& b) {
        return a.live >= b.live && a.last_seen >= b.last_seen;
    };
    if (std::any_of(largest_.begin(), largest_.end(), [&](const auto& o) { return covers(o, x); })) {
        return;
    }
    std::erase_if(largest_, [&](const auto& o) { return covers(x, o); });
    largest_.insert(
        std::find_if(largest_.begin(), largest_.end(), [&](const auto& o) { return o.live < x.live; }), x);
}

std::optional<fleet_observation> fleet_share::largest() const {
    return largest_.empty() ? std::nullopt : std::optional{largest_.front()};
}

double fleet_share::share(double retries, std::size_t daemons, base::time_point now) const {
    return now - started_at_ < window_ ? 0 : retries / static_cast<double>(daemons);
}

}  // namespace chicorygap::retry
