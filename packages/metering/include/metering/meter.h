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
/// Usage: `m.count(window, workspace)` for each request that begins to run; `m.own(n)` for peers;
/// `m.merge(...)` for what they say; `m.total(window)` for the report.
class meter {
public:
    /// Names one start of a daemon.
    using source = std::pair<base::vm_id, std::uint64_t>;

    explicit meter(source self) : self_{std::move(self)} {}

    void count(window_number w, const base::workspace_id& workspace);

    /// Takes the counts of a peer.
    void merge(const source& from, window_number w, const workspace_counts& counts);

    /// @return own counts of a window.
    [[nodiscard]] const workspace_counts& own(window_number w) const;

    /// @return counts of the fleet.
    [[nodiscard]] workspace_counts total(window_number w) const;

    /// Forgets windows before `w`.
    void forget_before(window_number w);

private:
    source self_;
    std::map<window_number, std::map<source, workspace_counts>> windows_;
};

/// @param wall time of day.
/// @param length length of a window.
/// @return the window that `wall` lies in.
window_number window_at(base::wall_time wall, base::duration length);

/// @return the end of a window.
base::wall_time window_end(window_number w, base::duration length);

}  // namespace chicorygap::metering
