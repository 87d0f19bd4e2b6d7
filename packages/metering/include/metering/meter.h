/// @file
/// Usage of the fleet by window.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "metering/window_counts.h"

#include <cstdint>
#include <map>
#include <utility>

namespace chicorygap::metering {

/// Counts the requests of this daemon and keeps what its peers counted.
///
/// Concept: every daemon tells all others its running counts, so that the counts of one that ends are lost
/// only from its last message on. Counts of one incarnation only grow; the larger figure is the newer one.
///
/// Usage: `m.count_request(window, workspace)` for each request that begins to run; `m.local_counts(n)` for
/// peers; `m.merge(...)` for what they say; `m.fleet_counts(window)` for the report.
class meter {
public:
    /// Names one start of a daemon.
    using daemon_instance = std::pair<base::vm_id, std::uint64_t>;

    explicit meter(daemon_instance self) : self_{std::move(self)} {}

    void count_request(window_number w, const base::workspace_id& workspace);

    /// Takes the counts of a peer.
    void merge(const daemon_instance& from, window_number w, const workspace_counts& counts);

    /// @return own counts of a window.
    [[nodiscard]] const workspace_counts& local_counts(window_number w) const;

    /// @return counts of the fleet.
    [[nodiscard]] workspace_counts fleet_counts(window_number w) const;

    /// Forgets windows before `w`.
    void discard_before(window_number w);

private:
    daemon_instance self_;
    std::map<window_number, std::map<daemon_instance, workspace_counts>> windows_;
};

/// @param wall time of day.
/// @param length length of a window.
/// @return the window that `wall` lies in.
window_number window_at(base::wall_time wall, base::duration length);

/// @return the end of a window.
base::wall_time window_end(window_number w, base::duration length);

}  // namespace chicorygap::metering
