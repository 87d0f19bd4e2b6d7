#include "usage/counter_table.h"

#include <algorithm>
#include <utility>

namespace chicorygap::usage {

counter_table::counter_table(source self, std::size_t max_rows)
    : self_{std::move(self)}, max_rows_{max_rows} {}

void counter_table::add(const row_key& key, const counts& n, window_number window) {
    enter(window);
    const bool known = rows_.contains(key) || rows_.size() < max_rows_;
    auto& r = rows_[known ? key : row_key{}];
    r.total += n;
    r.changed_in = next_sequence_;
}

usage_report counter_table::make_report(window_number window) {
    enter(window);
    usage_report out{self_, next_sequence_++, window_, {}};
    for (const auto& [key, r] : rows_) {
        if (r.changed_in > acknowledged_) {
            out.rows.push_back({key, r.total, r.opening});
        }
    }
    return out;
}

void counter_table::acknowledge(std::uint64_t term, std::uint64_t sequence) {
    if (term != term_) {
        return;
    }
    acknowledged_ = std::max(acknowledged_, std::min(sequence, next_sequence_ - 1));
}

void counter_table::set_holder(std::uint64_t term) {
    if (term == term_) {
        return;
    }
    term_ = term;
    for (auto& [key, r] : rows_) {
        r.changed_in = next_sequence_;
    }
}

void counter_table::enter(window_number window) {
    // Wall time may be set back; a window once left is not entered again.
    if (window <= window_) {
        return;
    }
    window_ = window;
    for (auto& [key, r] : rows_) {
        r.opening = r.total;
    }
}

}  // namespace chicorygap::usage
