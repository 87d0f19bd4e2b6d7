#include "distribution/freshness.h"

#include <algorithm>

namespace chicorygap::distribution {

namespace {

void advance(std::optional<base::time_point>& t, base::time_point to) {
    t = t ? std::max(*t, to) : to;
}

}  // namespace

void freshness::platform_replied(base::time_point now) {
    advance(platform_, now);
    advance(outside_, now);
}

void freshness::other_zone_heard(base::time_point now) {
    advance(outside_, now);
}

void freshness::peer_reported(const digest& d, base::time_point now) {
    if (d.platform_age) {
        advance(platform_, now - *d.platform_age);
    }
    if (d.outside_age) {
        advance(outside_, now - *d.outside_age);
    }
}

void freshness::describe(digest& d, base::time_point now) const {
    if (platform_) {
        d.platform_age = now - *platform_;
    }
    if (outside_) {
        d.outside_age = now - *outside_;
    }
}

base::duration freshness::platform_age(base::time_point now) const {
    return now - platform_.value_or(start_);
}

base::duration freshness::outside_age(base::time_point now) const {
    return now - outside_.value_or(start_);
}

}  // namespace chicorygap::distribution
