#include "duties/usage_reporter.h"

#include "metering/meter.h"

#include <algorithm>
#include <utility>

namespace chicorygap::duties {

namespace {

using namespace std::chrono_literals;

/// A report is sent at the latest this long before it is due, even if counts are missing.
constexpr base::duration due_margin = 3s;
/// Time before a failed call is repeated.
constexpr base::duration retry_time = 400ms;
/// Windows whose report has been due for longer than this are given up.
constexpr base::duration give_up_time = 20s;

std::chrono::milliseconds to_ms(base::duration d) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(d);
}

}  // namespace

usage_reporter::usage_reporter(usage_schedule t, counts_function counts)
    : times_{t}, counts_{std::move(counts)} {}

std::vector<usage_action> usage_reporter::tick(base::wall_time wall, base::duration settle, bool all_heard,
                                               base::time_point now) {
    const auto latest = times_.due - due_margin;
    const auto wait = all_heard ? std::min(settle, latest) : latest;
    for (auto w = first_window(wall); metering::window_end(w, times_.window) + to_ms(wait) <= wall;
         w = metering::window_number{static_cast<std::uint64_t>(w) + 1}) {
        advance(w, windows_[w], now);
    }
    windows_.erase(windows_.begin(), windows_.lower_bound(first_window(wall)));
    return std::exchange(actions_, {});
}

metering::window_number usage_reporter::first_window(base::wall_time wall) const {
    return metering::window_at(wall - to_ms(times_.due + give_up_time), times_.window);
}

void usage_reporter::advance(metering::window_number w, progress& p, base::time_point now) {
    if (p.in_flight || p.at == step::done || now < p.retry_at) {
        return;
    }
    p.in_flight = true;
    p.retry_at = now + retry_time;
    if (p.at == step::freezing) {
        actions_.emplace_back(store_window{w, counts_(w)});
        return;
    }
    p.at = step::reporting;
    actions_.emplace_back(report_window{w, p.counts});
}

void usage_reporter::window_stored(metering::window_number w,
                                   const std::optional<metering::workspace_counts>& stored) {
    const auto it = windows_.find(w);
    if (it == windows_.end() || it->second.at != step::freezing) {
        return;
    }
    it->second.in_flight = false;
    if (stored) {
        it->second.at = step::frozen;
        it->second.counts = *stored;
        it->second.retry_at = {};
    }
}

void usage_reporter::window_reported(metering::window_number w, report_result r) {
    const auto it = windows_.find(w);
    if (it == windows_.end() || it->second.at != step::reporting) {
        return;
    }
    it->second.in_flight = false;
    it->second.at = r == report_result::failed ? step::frozen : step::done;
}

void usage_reporter::reset() {
    windows_.clear();
}

}  // namespace chicorygap::duties
