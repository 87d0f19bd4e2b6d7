/// @file
/// Reports the fleet's usage, window by window.
#pragma once

#include "base/time.h"
#include "metering/window_counts.h"

#include <functional>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace chicorygap::duties {

/// Store the counts of a window under its number, unless it is stored already.
struct store_window {
    metering::window_number window{};
    metering::workspace_counts counts;
};

/// Report the stored counts of a window.
struct report_window {
    metering::window_number window{};
    metering::workspace_counts counts;
};

using usage_action = std::variant<store_window, report_window>;

enum class report_result {
    accepted,
    fenced,  ///< a later holder has reported
    failed,  ///< no answer; it may have been accepted
};

struct usage_schedule {
    base::duration window{};
    /// After the end of a window its report is due.
    base::duration due{};
};

/// Decides when the counts of which window are stored and reported.
///
/// Concept: the counts of a window are stored before they are reported for the first time, so that every
/// repetition, also by a later holder of the duty, carries the same figures. The store decides between two
/// holders, because it creates an object once only.
///
/// Usage: call `tick` every 200 ms while the duty is held, carry out its actions and pass their results back.
class usage_reporter {
public:
    /// Gives the counts of the fleet for a window.
    using counts_function = std::function<metering::workspace_counts(metering::window_number)>;

    usage_reporter(usage_schedule t, counts_function counts);

    /// @param wall time of day that the fleet agrees on.
    /// @param settle time after the end of a window in which the last counts of all daemons arrive.
    /// @param all_heard all daemons that counted in the last windows were heard lately; if not, their counts
    /// are waited for as long as the report can still be in time.
    std::vector<usage_action> tick(base::wall_time wall, base::duration settle, bool all_heard,
                                   base::time_point now);

    /// @param stored counts that the store holds for the window; nothing if the call failed.
    void window_stored(metering::window_number w, const std::optional<metering::workspace_counts>& stored);

    void window_reported(metering::window_number w, report_result r);

    /// The duty was lost; what is not reported is left to the next holder.
    void reset();

private:
    enum class step { freezing, frozen, reporting, done };
    struct progress {
        step at = step::freezing;
        metering::workspace_counts counts;
        bool in_flight = false;
        base::time_point retry_at;
    };

    [[nodiscard]] metering::window_number first_window(base::wall_time wall) const;
    void advance(metering::window_number w, progress& p, base::time_point now);

    usage_schedule times_;
    counts_function counts_;
    std::map<metering::window_number, progress> windows_;
    std::vector<usage_action> actions_;
};

}  // namespace chicorygap::duties
