/// @file
/// Bounded view of the remote zones.
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

/// Limited set of daemons per remote zone, those with the highest rendezvous weight for this daemon, and the
/// last reported number of live daemons of each zone.
class remote_zones {
public:
    /// @param self this daemon's address.
    /// @param contacts_per_zone number of daemons to probe per zone.
    remote_zones(std::string self, std::size_t contacts_per_zone)
        : self_{std::move(self)}, contacts_per_zone_{contacts_per_zone} {}

    /// Applies an update about a daemon of a remote zone.
    void merge(const member& m);
    /// Applies the reported number of daemons of a zone, unless a later report is known.
    void merge(const zone_summary& z, base::time_point now);
    /// Records the result of a probe. A contact that fails repeatedly is replaced if other candidates are
    /// known.
    void record_probe(const std::string& address, bool acknowledged);

    /// @return the next contact to probe, in round-robin order of the zones.
    std::optional<std::string> next_probe();
    /// @return up to `n` summaries in round-robin order.
    std::vector<zone_summary> take_summaries(std::size_t n, base::time_point now);

    [[nodiscard]] const member* find(const std::string& address) const;
    [[nodiscard]] std::vector<member> contacts() const;
    [[nodiscard]] std::vector<base::zone_id> zones() const;
    [[nodiscard]] bool reachable(const base::zone_id& zone, base::time_point now, base::duration limit) const;
    /// @return last reported number of live daemons of the zone, 0 if unknown.
    [[nodiscard]] std::uint32_t daemon_count(const base::zone_id& zone) const;
    [[nodiscard]] std::size_t total_daemon_count() const;

private:
    struct remote_daemon {
        member info{};
        std::uint64_t weight = 0;
        int failures = 0;
    };
    struct zone_state {
        std::vector<remote_daemon> candidates;  // preferred contacts first
        std::size_t next_contact = 0;
        bool has_summary = false;
        base::time_point summary_time{};
        std::uint32_t daemon_count = 0;
    };

    static void sort(zone_state& z);
    remote_daemon* find_remote(const std::string& address);

    std::string self_;
    std::size_t contacts_per_zone_;
    std::map<std::string, zone_state> zones_;
    std::string last_probed_zone_;
    std::string last_summary_zone_;
};

}  // namespace chicorygap::membership
