/// @file
/// Load reports of other daemons.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "scheduling/load.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

namespace chicorygap::scheduling {

struct server_state;

/// Load that other daemons or zones report for the servers of one service.
///
/// Prevents several daemons from using the same free slot. Reports may be older than the prefill queues that
/// they describe: the older a report is, the less its queues count, and the more the rate at which they are
/// filled counts instead.
class peer_loads {
public:
    /// @param queue_report_lifetime time for which a peer's report of a queue at a server counts, from its
    /// receipt by this daemon.
    explicit peer_loads(base::duration queue_report_lifetime)
        : queue_report_lifetime_{queue_report_lifetime} {}

    /// Stores a report, which replaces the previous one of the peer.
    /// @param valid_until time after which the report is removed.
    /// @param zone zone of the peer, or the zone that a digest sums up; empty if unknown.
    void set(const base::vm_id& peer, const load_report& r, base::time_point valid_until,
             base::time_point now, const base::zone_id& zone = {});

    /// Removes expired reports and writes the sums of the others into the servers.
    void update_servers(const std::vector<server_state*>& servers, base::time_point now);

    /// @return number of stored reports.
    [[nodiscard]] std::size_t count() const noexcept { return reports_.size(); }
    /// @return mean time since the receipt of the stored reports; 0 if there are none.
    [[nodiscard]] base::duration mean_age(base::time_point now) const;
    /// @return true if a peer reports streams that exceed their token gap limit.
    [[nodiscard]] bool token_gaps_exceeded() const;
    /// @return number of running generations with short prompts at all peers.
    [[nodiscard]] std::uint32_t short_prompt_streams() const;
    /// @return number of requests that wait for a server at all peers.
    [[nodiscard]] std::size_t waiting() const;

    /// Calls a function for each stored report, with the zone of its sender.
    void for_each(const std::function<void(const base::zone_id&, const load_report&)>& f) const;

    /// Uses the measurements of all daemons, since in a large fleet each daemon measures few first tokens.
    /// @param local prefill tokens per millisecond measured by this daemon; 0 if not measured.
    /// @return median over all daemons that have a measurement; 0 if none has.
    [[nodiscard]] double median_prefill_tokens_per_ms(double local) const;

private:
    struct report {
        load_report load;
        base::time_point received_at;
        base::time_point valid_until;
        base::zone_id zone;
    };

    base::duration queue_report_lifetime_;
    std::unordered_map<base::vm_id, report> reports_;
};

}  // namespace chicorygap::scheduling
