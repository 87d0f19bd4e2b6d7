/// @file
/// Usage counts of the fleet by window.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "metering/window_counts.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace chicorygap::metering {

/// Counts the requests of this daemon and merges the counts of its peers.
///
/// Concept: every daemon regularly sends its counts to all others, so that a daemon that terminates
/// loses only the requests counted after its last message. The counts of one daemon instance never
/// decrease, so of two counts the larger one is the newer.
///
/// Usage: `m.count_request(window, workspace)` for each request that starts; send `m.local_counts(window)` to
/// the peers; `m.merge(...)` for each received message; `m.fleet_counts(window)` for the report.
class meter {
public:
    /// VM and incarnation; identify one run of a daemon.
    using daemon_instance = std::pair<base::vm_id, std::uint64_t>;

    explicit meter(daemon_instance self) : self_{std::move(self)} {}

    /// Counts a request that this daemon has started.
    void count_request(window_number w, const base::workspace_id& workspace);

    /// Merges the counts that a peer has sent. Counts of this daemon instance are ignored.
    /// @param from daemon instance that counted.
    /// @param counts all counts of that instance for the window so far.
    void merge(const daemon_instance& from, window_number w, const workspace_counts& counts);

    /// @return the counts of this daemon instance for a window.
    [[nodiscard]] const workspace_counts& local_counts(window_number w) const;

    /// @return the counts of a window, summed over all known daemon instances.
    [[nodiscard]] workspace_counts fleet_counts(window_number w) const;

    /// @return number of daemon instances whose counts of the window are known.
    [[nodiscard]] std::size_t counting_daemons(window_number w) const;

    /// Discards the counts of all windows before `w`.
    void discard_before(window_number w);

private:
    daemon_instance self_;
    std::map<window_number, std::map<daemon_instance, workspace_counts>> windows_;
};

/// @param wall wall time.
/// @param length length of a window.
/// @return the window that contains `wall`.
window_number window_at(base::wall_time wall, base::duration length);

/// @param length length of a window.
/// @return the wall time at which a window ends.
base::wall_time window_end(window_number w, base::duration length);

}  // namespace chicorygap::metering
