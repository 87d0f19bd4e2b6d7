#include "usage/fold.h"

#include <algorithm>
#include <utility>

namespace chicorygap::usage {

namespace {

std::size_t row_count(const closing_snapshot& s) {
    std::size_t n = 0;
    for (const auto& [from, rows] : s) {
        n += rows.size();
    }
    return n;
}

bool retired(const source& s, const window_record& r) {
    const auto it = r.oldest_incarnation.find(s.daemon);
    return it != r.oldest_incarnation.end() && s.incarnation < it->second;
}

}  // namespace

bool fold::take(const usage_report& r) {
    auto& rows = rows_[r.from];
    for (const auto& n : r.rows) {
        if (!rows.contains(n.key)) {
            if (row_count_ >= limits_.max_rows) {
                return false;
            }
            ++row_count_;
        }
        merge(rows[n.key], n, r.window);
    }
    return true;
}

void fold::merge(row& known, const report_row& r, window_number window) {
    if (window > known.window) {
        known.previous_window = known.window;
        known.previous_opening = known.opening;
        known.window = window;
        known.opening = r.opening;
    }
    if (max(known.total, r.total) != known.total) {
        known.total = max(known.total, r.total);
        known.changed = true;
    }
}

closing_row fold::closing(const row& r, window_number window) {
    if (r.window <= window) {
        // No report since the window began: everything was counted before it, as far as is known.
        return {r.total, r.window == window ? r.opening : r.total};
    }
    return {r.opening, r.previous_window == window ? r.previous_opening : r.opening};
}

void fold::close(window_number window) {
    closing_snapshot s;
    for (auto& [from, rows] : rows_) {
        for (auto& [key, r] : rows) {
            if (!r.changed) {
                continue;
            }
            const auto c = closing(r, window);
            s[from][key] = c;
            r.changed = c.total != r.total;
        }
    }
    snapshots_[window] = std::move(s);
    bound_snapshots();
}

void fold::bound_snapshots() {
    std::size_t rows = 0;
    for (const auto& [window, s] : snapshots_) {
        rows += row_count(s);
    }
    while (snapshots_.size() > 1 &&
           (snapshots_.size() > limits_.max_pending_windows || rows > limits_.max_pending_rows)) {
        auto oldest = snapshots_.extract(snapshots_.begin()).mapped();
        auto& next = snapshots_.begin()->second;
        rows -= row_count(oldest) + row_count(next);
        for (auto& [from, from_rows] : oldest) {
            next[from].merge(from_rows);
        }
        rows += row_count(next);
    }
}

window_record fold::freeze(window_number window, const window_record& previous) const {
    window_record out;
    out.window = window;
    out.marks = previous.marks;
    out.oldest_incarnation = previous.oldest_incarnation;
    const auto snapshot = snapshots_.find(window);
    if (snapshot == snapshots_.end()) {
        return out;
    }
    std::map<row_key, window_row> sums;
    for (const auto& [from, rows] : snapshot->second) {
        if (!retired(from, previous)) {
            add_source(from, rows, out, sums);
        }
    }
    for (auto& [key, sum] : sums) {
        out.rows.push_back(std::move(sum));
    }
    return out;
}

void fold::add_source(const source& from, const std::map<row_key, closing_row>& rows, window_record& out,
                      std::map<row_key, window_row>& sums) const {
    std::size_t mark_rows = 0;
    for (const auto& [other, marks] : out.marks) {
        mark_rows += marks.size();
    }
    auto& marks = out.marks[from];
    for (const auto& [key, c] : rows) {
        const bool room = marks.contains(key) || mark_rows++ < limits_.max_mark_rows;
        const auto mark = marks.contains(key) ? marks[key] : counts{};
        const auto n = excess(c.total, mark);
        if (n.zero() || !room) {
            continue;
        }
        auto& sum = sums[key];
        sum.key = key;
        sum.figures += n;
        sum.carry_over += excess(c.opening, mark);
        marks[key] = max(mark, c.total);
    }
}

void fold::snapshot_all() {
    for (auto& [from, rows] : rows_) {
        for (auto& [key, r] : rows) {
            r.changed = true;
        }
    }
}

void fold::drop_until(window_number window) {
    snapshots_.erase(snapshots_.begin(), snapshots_.upper_bound(window));
}

void fold::drop_retired(const window_record& r) {
    std::erase_if(rows_, [&](const auto& v) {
        if (!retired(v.first, r)) {
            return false;
        }
        row_count_ -= v.second.size();
        return true;
    });
}

void fold::clear() {
    rows_.clear();
    row_count_ = 0;
    snapshots_.clear();
}

}  // namespace chicorygap::usage
