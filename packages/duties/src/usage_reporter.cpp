#include "duties/usage_reporter.h"

#include "metering/meter.h"

#include <algorithm>
#include <utility>

namespace chicorygap::duties {

namespace {

using namespace std::chrono_literals;

/// The counts of a window are stored and reported at the latest this long before the deadline, even if
/// counts of some daemons are missing.
constexpr base::duration deadline_margin = 3s;
/// Time before a failed call is repeated.
constexpr base::duration retry_delay = 400ms;
/// Time after the deadline of a report at which the window is dropped.
constexpr base::duration max_report_delay = 20s;

/// Windows whose stored counts are remembered: more than can still be reported.
constexpr std::size_t max_remembered_windows = 32;

std::chrono::milliseconds to_ms(base::duration d) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(d);
}

}  // namespace

usage_reporter::usage_reporter(usage_schedule schedule, counts_function counts)
    : schedule_{schedule}, counts_{std::move(counts)} {}

std::vector<usage_action> usage_reporter::tick(base::wall_time wall, base::duration settle_time,
                                               bool all_peers_live, base::time_point now) {
    const auto max_wait = schedule_.report_deadline - deadline_margin;
    const auto wait = all_peers_live ? std::min(settle_time, max_wait) : max_wait;
    for (auto w = first_window(wall); metering::window_end(w, schedule_.window_length) + to_ms(wait) <= wall;
         w = metering::window_number{static_cast<std::uint64_t>(w) + 1}) {
        advance(w, windows_[w], now);
    }
    windows_.erase(windows_.begin(), windows_.lower_bound(first_window(wall)));
    return std::exchange(actions_, {});
}

metering::window_number usage_reporter::first_window(base::wall_time wall) const {
    return metering::window_at(wall - to_ms(schedule_.report_deadline + max_report_delay),
                               schedule_.window_length);
}

void usage_reporter::advance(metering::window_number w, progress& p, base::time_point now) {
    if (p.in_flight || p.current == stage::done || now < p.retry_at) {
        return;
    }
    p.in_flight = true;
    p.retry_at = now + retry_delay;
    if (p.current == stage::storing) {
        const auto known = stored_counts_.find(w);
        const bool possibly_lost = possibly_lost_before_ &&
                                   metering::window_end(w, schedule_.window_length) <= *possibly_lost_before_;
        if (known != stored_counts_.end()) {
            actions_.emplace_back(store_window{w, known->second});
        } else if (possibly_lost) {
            actions_.emplace_back(read_window{w});
        } else {
            actions_.emplace_back(store_window{w, counts_(w)});
        }
        return;
    }
    p.current = stage::reporting;
    actions_.emplace_back(report_window{w, p.counts});
}

void usage_reporter::window_stored(metering::window_number w,
                                   const std::optional<metering::workspace_counts>& stored) {
    const auto it = windows_.find(w);
    if (it == windows_.end() || it->second.current != stage::storing) {
        return;
    }
    it->second.in_flight = false;
    if (stored) {
        it->second.current = stage::stored;
        it->second.counts = *stored;
        stored_counts_.erase(w);
        remember(w, *stored);
        it->second.retry_at = {};
    }
}

void usage_reporter::window_missing(metering::window_number w) {
    const auto it = windows_.find(w);
    if (it != windows_.end() && it->second.current == stage::storing) {
        it->second.in_flight = false;
        it->second.current = stage::done;
    }
}

void usage_reporter::store_restored(base::wall_time wall) {
    possibly_lost_before_ = wall;
}

void usage_reporter::remember(metering::window_number w, const metering::workspace_counts& counts) {
    stored_counts_.emplace(w, counts);
    if (stored_counts_.size() > max_remembered_windows) {
        stored_counts_.erase(stored_counts_.begin());
    }
}

void usage_reporter::window_reported(metering::window_number w, report_result result) {
    const auto it = windows_.find(w);
    if (it == windows_.end() || it->second.current != stage::reporting) {
        return;
    }
    it->second.in_flight = false;
    it->second.current = result == report_result::failed ? stage::stored : stage::done;
}

void usage_reporter::reset() {
    windows_.clear();
}

}  // namespace chicorygap::duties
