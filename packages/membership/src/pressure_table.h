/// @file
/// Lowest admitted tiers of the zone.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "membership/events.h"
#include "membership/message.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chicorygap::membership {

/// Lowest tier per service that any daemon of the zone still admits. The strictest tier is forwarded with its
/// age; a tier that is not reported again expires, so the zone admits lower tiers again once the reporting
/// daemon does.
class pressure_table {
public:
    /// Replaces the tiers and versions of this daemon.
    void set_local(const std::vector<local_service>& services);
    /// Records a tier that a peer reported or forwarded.
    void merge(const service_digest& d, base::time_point now);
    /// @return up to `n` digests in round-robin order.
    std::vector<service_digest> next_digests(std::size_t n, base::time_point now);
    /// @return services whose effective tier changed since the last call.
    std::vector<pressure_changed> take_changes(base::time_point now);

    [[nodiscard]] std::uint8_t lowest_admitted_tier(const base::service_id& service,
                                                    base::time_point now) const;

private:
    struct state {
        std::uint64_t version = 0;
        std::uint8_t local_tier = 0;
        std::uint8_t last_reported_tier = 0;  // by `take_changes`
        bool has_peer_tier = false;
        std::uint8_t peer_tier = 0;
        base::time_point peer_tier_time{};
    };

    static bool peer_tier_is_stricter(const state& s, base::time_point now);
    static std::uint8_t effective_tier(const state& s, base::time_point now);

    std::map<std::string, state> services_;
    std::string last_sent_service_;
};

}  // namespace chicorygap::membership
