#include "distribution/contact_tracker.h"

#include <algorithm>

namespace chicorygap::distribution {

namespace {

void advance(std::optional<base::time_point>& t, base::time_point to) {
    t = t ? std::max(*t, to) : to;
}

}  // namespace

void contact_tracker::record_platform_reply(base::time_point now) {
    advance(platform_, now);
    advance(outside_, now);
}

void contact_tracker::record_other_zone_message(base::time_point now) {
    advance(outside_, now);
}

void contact_tracker::merge_peer_ages(const digest& d, base::time_point now) {
    if (d.platform_contact_age) {
        advance(platform_, now - *d.platform_contact_age);
    }
    if (d.external_contact_age) {
        advance(outside_, now - *d.external_contact_age);
    }
}

void contact_tracker::write_ages(digest& d, base::time_point now) const {
    if (platform_) {
        d.platform_contact_age = now - *platform_;
    }
    if (outside_) {
        d.external_contact_age = now - *outside_;
    }
}

base::duration contact_tracker::platform_contact_age(base::time_point now) const {
    return now - platform_.value_or(start_);
}

base::duration contact_tracker::external_contact_age(base::time_point now) const {
    return now - outside_.value_or(start_);
}

}  // namespace chicorygap::distribution
