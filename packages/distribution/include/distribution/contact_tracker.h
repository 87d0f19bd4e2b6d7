/// @file
/// Time since the last contact with the platform and with other zones.
#pragma once

#include "base/time.h"
#include "distribution/messages.h"

#include <optional>

namespace chicorygap::distribution {

/// Combines the contacts of this daemon with those that peers of the zone report. Peers exchange ages and
/// never times, because the clocks of two VMs differ.
class contact_tracker {
public:
    /// @param start counts as the time of the last contact until there is one.
    explicit contact_tracker(base::time_point start) : start_{start} {}

    void record_platform_reply(base::time_point now);
    void record_other_zone_message(base::time_point now);
    /// Applies the ages in a digest of a peer of the same zone.
    void merge_peer_ages(const digest& d, base::time_point now);

    /// Sets the ages in a digest; an age stays absent when there was no contact.
    void write_ages(digest& d, base::time_point now) const;
    /// @return time since the last reply of the platform to a daemon of the zone.
    [[nodiscard]] base::duration platform_contact_age(base::time_point now) const;
    /// @return time since the last contact of the zone with the platform or another zone.
    [[nodiscard]] base::duration external_contact_age(base::time_point now) const;

private:
    base::time_point start_;
    std::optional<base::time_point> last_platform_contact_;
    std::optional<base::time_point> last_external_contact_;
};

}  // namespace chicorygap::distribution
