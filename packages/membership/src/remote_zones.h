/// @file
/// Bounded knowledge of the other zones.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "membership/message.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::membership {

/// Some daemons of each other zone, those with the highest rendezvous weight for this daemon, and each zone's
/// number of live daemons as last stated.
class remote_zones {
public:
    /// @param self this daemon's address.
    /// @param contacts daemons per zone to talk to.
    remote_zones(std::string self, std::size_t contacts) : self_{std::move(self)}, contacts_{contacts} {}

    /// Applies an update about a daemon of another zone.
    void merge(const member& m);
    /// Applies a zone's number of daemons.
    void merge(const zone_summary& z, base::time_point now);
    /// Records whether a probe was answered. A contact that does not answer is replaced while others are
    /// known.
    void probed(const std::string& address, bool answered);

    /// @return the next contact to probe, zone after zone.
    std::optional<std::string> next_probe();
    /// @return up to `n` summaries in rotation.
    std::vector<zone_summary> take_summaries(std::size_t n, base::time_point now);

    [[nodiscard]] const member* find(const std::string& address) const;
    [[nodiscard]] std::vector<member> contacts() const;
    [[nodiscard]] std::vector<base::zone_id> zones() const;
    [[nodiscard]] bool reachable(const base::zone_id& zone, base::time_point now, base::duration limit) const;
    /// @return live daemons of the zone as last stated, 0 if unknown.
    [[nodiscard]] std::uint32_t members(const base::zone_id& zone) const;
    [[nodiscard]] std::size_t daemons() const;

private:
    struct remote {
        member info{};
        std::uint64_t weight = 0;
        int failures = 0;
    };
    struct zone_state {
        std::vector<remote> known;  // preferred contacts first
        std::size_t next_contact = 0;
        bool heard = false;
        base::time_point stated{};
        std::uint32_t member_count = 0;
    };

    static void sort(zone_state& z);
    remote* find_remote(const std::string& address);

    std::string self_;
    std::size_t contacts_;
    std::map<std::string, zone_state> zones_;
    std::string next_zone_;
    std::string rotation_;
};

}  // namespace chicorygap::membership
