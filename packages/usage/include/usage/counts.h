/// @file
/// Usage counts and what they are counted for.
#pragma once

#include "base/id.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chicorygap::usage {

/// Number of a window: wall time divided by the window's length.
using window_number = std::int64_t;

/// What is counted separately.
struct row_key {
    base::service_id service;
    base::workspace_id workspace;
    base::class_id traffic_class;

    bool operator==(const row_key&) const = default;
    bool operator<(const row_key& o) const;
};

/// Numbers of one row.
struct counts {
    std::uint64_t requests = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;

    bool operator==(const counts&) const = default;
    counts& operator+=(const counts& o) noexcept;
    [[nodiscard]] bool zero() const noexcept { return *this == counts{}; }
};

/// @return for each number the larger one.
counts max(const counts& a, const counts& b) noexcept;

/// @return for each number `a - b`, or 0 where `b` is larger.
counts excess(const counts& a, const counts& b) noexcept;

/// Process that counts: a restarted daemon is another source and starts at zero.
struct source {
    std::string daemon;
    std::uint64_t incarnation = 0;

    bool operator==(const source&) const = default;
    bool operator<(const source& o) const;
};

/// Cumulative row of a report.
struct report_row {
    row_key key;
    counts total;    ///< since the start of the process
    counts opening;  ///< the part of `total` that was counted before the report's window began
};

/// Message from a daemon to the role holder of its zone.
struct usage_report {
    source from;
    std::uint64_t sequence = 0;  ///< grows with each report
    window_number window = 0;    ///< window in which it was made, by the daemon's wall time
    std::vector<report_row> rows;
};

/// Figures of one row in one window.
struct window_row {
    row_key key;
    counts figures;     ///< all that is billed in this window
    counts carry_over;  ///< the part of `figures` that was counted before the window began
};

}  // namespace chicorygap::usage
