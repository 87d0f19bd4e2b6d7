#include "distribution/contact_tracker.h"

#include <algorithm>

namespace chicorygap::distribution {

namespace {

void advance(std::optional<base::time_point>& t, base::time_point to) {
    t = t ? std::max(*t, to) : to;
}

}  // namespace

void contact_tracker::record_platform_reply(base::time_point now) {
    advance(last_platform_contact_, now);
    advance(last_external_contact_, now);
}

void contact_tracker::record_other_zone_message(base::time_point now) {
    advance(last_external_contact_, now);
}

void contact_tracker::merge_peer_ages(const digest& d, base::time_point now) {
    if (d.platform_contact_age) {
        advance(last_platform_contact_, now - *d.platform_contact_age);
    }
    if (d.external_contact_age) {
        advance(last_external_contact_, now - *d.external_contact_age);
    }
}

void contact_tracker::write_ages(digest& d, base::time_point now) const {
    if (last_platform_contact_) {
        d.platform_contact_age = now - *last_platform_contact_;
    }
    if (last_external_contact_) {
        d.external_contact_age = now - *last_external_contact_;
    }
}

base::duration contact_tracker::platform_contact_age(base::time_point now) const {
    return now - last_platform_contact_.value_or(start_);
}

base::duration contact_tracker::external_contact_age(base::time_point now) const {
    return now - last_external_contact_.value_or(start_);
}

}  // namespace chicorygap::distribution
