/// @file
/// How recently this daemon had contact with the platform and with other zones.
#pragma once

#include "base/time.h"
#include "distribution/messages.h"

#include <optional>

namespace chicorygap::distribution {

/// Combines own contact with that reported by peers of the zone. Only ages travel between VMs, never times.
class freshness {
public:
    /// @param start used as last contact until there is any.
    explicit freshness(base::time_point start) : start_{start} {}

    void platform_replied(base::time_point now);
    void other_zone_heard(base::time_point now);
    void peer_reported(const digest& d, base::time_point now);

    /// Writes the ages into a digest; absent without evidence.
    void describe(digest& d, base::time_point now) const;
    [[nodiscard]] base::duration platform_age(base::time_point now) const;
    [[nodiscard]] base::duration outside_age(base::time_point now) const;

private:
    base::time_point start_;
    std::optional<base::time_point> platform_;
    std::optional<base::time_point> outside_;
};

}  // namespace chicorygap::distribution
