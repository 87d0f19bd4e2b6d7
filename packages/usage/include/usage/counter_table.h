/// @file
/// Counting in a daemon.
#pragma once

#include "usage/counts.h"

#include <cstdint>
#include <map>

namespace chicorygap::usage {

/// Cumulative counters of a daemon and the reports on them.
///
/// Concept: numbers only grow, so a report may be lost, repeated or overtaken. A row is repeated until a
/// report that contains its current numbers has been acknowledged.
///
/// Usage: `add` per finished request; `make_report` once a second; `acknowledge` when the holder has taken
/// it; `send_all` when the role has another holder.
class counter_table {
public:
    /// Rows beyond this are counted for the service and workspace of the empty name, which billing shows as
    /// unassigned.
    static constexpr std::size_t default_max_rows = 20'000;

    explicit counter_table(source self, std::size_t max_rows = default_max_rows);

    /// Counts for a row.
    /// @param window current window by this daemon's wall time.
    void add(const row_key& key, const counts& n, window_number window);

    /// @return rows that are new to the holder, as of `window`.
    usage_report make_report(window_number window);

    /// Makes the next report contain all rows if `term` is new: a holder starts without reports in each term.
    void set_holder(std::uint64_t term);

    /// Notes that the holder has taken the report with this sequence; ignored unless `term` is that of
    /// `set_holder`.
    void acknowledge(std::uint64_t term, std::uint64_t sequence);

    [[nodiscard]] std::size_t size() const noexcept { return rows_.size(); }

private:
    struct row {
        counts total;
        counts opening;
        std::uint64_t changed_in = 0;  ///< sequence of the first report that contains the current numbers
    };

    void enter(window_number window);

    source self_;
    std::size_t max_rows_;
    std::map<row_key, row> rows_;
    window_number window_ = 0;
    std::uint64_t next_sequence_ = 1;
    std::uint64_t acknowledged_ = 0;
    std::uint64_t term_ = 0;
};

}  // namespace chicorygap::usage
