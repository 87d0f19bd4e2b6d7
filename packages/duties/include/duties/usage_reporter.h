/// @file
/// Decides when the usage of the fleet is stored and reported.
#pragma once

#include "base/time.h"
#include "metering/window_counts.h"

#include <functional>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace chicorygap::duties {

/// Action: store the counts of a window under its number, unless the store already has the window.
struct store_window {
    metering::window_number window{};
    metering::workspace_counts counts;
};

/// Action: read the counts of a window from the store. They must not be counted anew.
struct read_window {
    metering::window_number window{};
};

/// Action: report the stored counts of a window to the platform.
struct report_window {
    metering::window_number window{};
    metering::workspace_counts counts;
};

using usage_action = std::variant<store_window, read_window, report_window>;

/// Outcome of a usage report.
enum class report_result {
    accepted,
    fenced,  ///< rejected because a holder with a higher fencing token has reported
    failed,  ///< no response; the report may have been accepted
};

/// Usage windows and the deadline of their reports.
struct usage_schedule {
    /// Length of a window.
    base::duration window_length{};
    /// Latest time of a report, measured from the end of its window.
    base::duration report_deadline{};
};

/// Decides when the usage counts of each window are stored and reported.
///
/// Concept: the counts of a window are stored before their first report, so that every repetition of the
/// report carries the same figures, even from a later lease holder. If two holders store a window
/// concurrently, the counts that were stored first win, because the store creates an object only once.
///
/// The store may return from a copy that lacks counts which were reported. Stored counts are therefore
/// remembered, by this daemon and, through beacons, by its peers. A window that ended before the return and
/// of which neither the store nor a daemon knows the counts is not reported: other figures than before would
/// be worse than none.
///
/// Usage: while the lease is held, call `tick` every 200 ms, carry out the returned actions, and pass the
/// results to `window_stored`, `window_missing` and `window_reported`.
class usage_reporter {
public:
    /// Returns the counts of the fleet for a window.
    using counts_function = std::function<metering::workspace_counts(metering::window_number)>;

    /// @param schedule window length and report deadline.
    /// @param counts source of the counts to store.
    usage_reporter(usage_schedule schedule, counts_function counts);

    /// Finds the windows that are ready to be stored or reported.
    /// @param wall wall time of the fleet.
    /// @param settle_time time after the end of a window within which the last counts of all daemons arrive.
    /// @param all_peers_live true if all daemons that counted requests in the last windows are live.
    /// Otherwise the reporter waits for their counts for as long as the report can still meet its deadline.
    /// @return the actions to carry out.
    std::vector<usage_action> tick(base::wall_time wall, base::duration settle_time, bool all_peers_live,
                                   base::time_point now);

    /// Records the result of a `store_window` action.
    /// @param stored counts in the store for the window; nothing if the call failed.
    void window_stored(metering::window_number w, const std::optional<metering::workspace_counts>& stored);

    /// Records that the store has no counts for a `read_window` action. The window is not reported.
    void window_missing(metering::window_number w);

    /// Takes note that the store may have lost counts of windows that ended before now.
    /// @param wall wall time of the fleet.
    void store_restored(base::wall_time wall);

    /// Remembers counts that a lease holder has stored.
    void remember(metering::window_number w, const metering::workspace_counts& counts);

    /// @return the counts of the latest stored windows, by window.
    [[nodiscard]] const std::map<metering::window_number, metering::workspace_counts>& stored_counts() const {
        return stored_counts_;
    }

    /// Records the result of a `report_window` action. A failed report is repeated.
    void window_reported(metering::window_number w, report_result result);

    /// Discards all progress after the lease was lost. The next holder reports the remaining windows.
    void reset();

private:
    enum class stage { storing, stored, reporting, done };
    struct progress {
        stage current = stage::storing;
        metering::workspace_counts counts;
        bool in_flight = false;
        base::time_point retry_at;
    };

    [[nodiscard]] metering::window_number first_window(base::wall_time wall) const;
    void advance(metering::window_number w, progress& p, base::time_point now);

    usage_schedule schedule_;
    counts_function counts_;
    std::map<metering::window_number, progress> windows_;
    /// Outlives the lease, because a later holder may need them.
    std::map<metering::window_number, metering::workspace_counts> stored_counts_;
    /// Windows that ended before may have been reported with counts that the store has lost.
    std::optional<base::wall_time> possibly_lost_before_;
    std::vector<usage_action> actions_;
};

}  // namespace chicorygap::duties
