/// @file
/// How recently this daemon had contact with the platform and with other zones.
#pragma once

#include "base/time.h"
#include "distribution/messages.h"

#include <optional>

namespace chicorygap::distribution {

/// Combines own contact with that reported by peers of the zone. Only ages travel between VMs, never times.
class contact_tracker {
public:
    /// @param start used as last contact until there is any.
    explicit contact_tracker(base::time_point start) : start_{start} {}

    void record_platform_reply(base::time_point now);
    void record_other_zone_message(base::time_point now);
    void merge_peer_ages(const digest& d, base::time_point now);

    /// Writes the ages into a digest; absent without evidence.
    void write_ages(digest& d, base::time_point now) const;
    [[nodiscard]] base::duration platform_contact_age(base::time_point now) const;
    [[nodiscard]] base::duration external_contact_age(base::time_point now) const;

private:
    base::time_point start_;
    std::optional<base::time_point> platform_;
    std::optional<base::time_point> outside_;
};

}  // namespace chicorygap::distribution
