/// @file
/// Cumulative reports of a zone, folded into windows.
#pragma once

#include "usage/counts.h"
#include "usage/window_record.h"

#include <cstdint>
#include <map>
#include <vector>

namespace chicorygap::usage {

/// Cumulative number of a row when a window closed, and the part counted before the window began.
struct closing_row {
    counts total;
    counts opening;
};

/// Cumulative numbers of all sources when a window closed; only rows that changed since the previous
/// snapshot.
using closing_snapshot = std::map<source, std::map<row_key, closing_row>>;

/// Latest cumulative numbers of all sources and the snapshots of closed windows.
///
/// Concept: figures are differences of cumulative numbers, so a repeated or overtaken report changes nothing,
/// and a snapshot may be merged into the following one without losing or doubling a count.
class fold {
public:
    /// Limits of the memory in use.
    struct limits {
        std::size_t max_rows = 200'000;          ///< rows of all sources
        std::size_t max_pending_rows = 200'000;  ///< rows of all snapshots
        std::size_t max_pending_windows = 180;
        /// Rows of the marks in one object; at about 35 bytes each they stay below the store's 1 MB. A row
        /// beyond this is billed when others have been retired.
        std::size_t max_mark_rows = 25'000;
    };

    explicit fold(limits l) : limits_{l} {}

    /// Takes a report; older numbers than the known ones are ignored.
    /// @return false if it was not taken because the memory is full.
    bool take(const usage_report& r);

    /// Closes a window: later counts belong to the following ones.
    void close(window_number window);

    /// Figures of `window` relative to `previous`, with the new marks. Counts that no snapshot covers stay
    /// for later.
    window_record freeze(window_number window, const window_record& previous) const;

    /// Forgets the snapshots up to `window`.
    void drop_until(window_number window);

    /// Puts all rows into the next snapshot, because a window was frozen by another holder with other marks.
    void snapshot_all();

    /// Forgets sources that are retired in `r`.
    void drop_retired(const window_record& r);

    void clear();

private:
    struct row {
        counts total;
        counts opening;           ///< before `window`
        counts previous_opening;  ///< before `previous_window`
        window_number window = 0;
        window_number previous_window = 0;
        bool changed = true;  ///< since the last snapshot
    };

    static void merge(row& known, const report_row& r, window_number window);
    static closing_row closing(const row& r, window_number window);
    void bound_snapshots();
    void add_source(const source& from, const std::map<row_key, closing_row>& rows, window_record& out,
                    std::map<row_key, window_row>& sums) const;

    limits limits_;
    std::map<source, std::map<row_key, row>> rows_;
    std::size_t row_count_ = 0;
    std::map<window_number, closing_snapshot> snapshots_;
};

}  // namespace chicorygap::usage
