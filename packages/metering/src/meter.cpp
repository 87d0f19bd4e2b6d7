#include "metering/meter.h"

#include <algorithm>
#include <chrono>

namespace chicorygap::metering {

void meter::count_request(window_number w, const base::workspace_id& workspace) {
    ++windows_[w][self_][workspace];
}

void meter::merge(const daemon_instance& from, window_number w, const workspace_counts& counts) {
    if (from == self_) {
        return;
    }
    auto& merged = windows_[w][from];
    for (const auto& [workspace, n] : counts) {
        auto& value = merged[workspace];
        value = std::max(value, n);
    }
}

const workspace_counts& meter::local_counts(window_number w) const {
    static const workspace_counts none;
    const auto it = windows_.find(w);
    if (it == windows_.end()) {
        return none;
    }
    const auto own = it->second.find(self_);
    return own == it->second.end() ? none : own->second;
}

workspace_counts meter::fleet_counts(window_number w) const {
    workspace_counts out;
    const auto it = windows_.find(w);
    if (it == windows_.end()) {
        return out;
    }
    for (const auto& [from, counts] : it->second) {
        for (const auto& [workspace, n] : counts) {
            out[workspace] += n;
        }
    }
    return out;
}

std::size_t meter::counting_daemons(window_number w) const {
    const auto it = windows_.find(w);
    return it == windows_.end() ? 0 : it->second.size();
}

void meter::discard_before(window_number w) {
    windows_.erase(windows_.begin(), windows_.lower_bound(w));
}

window_number window_at(base::wall_time wall, base::duration length) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
    return window_number{
        static_cast<std::uint64_t>(wall.time_since_epoch().count() / std::max<std::int64_t>(1, ms))};
}

base::wall_time window_end(window_number w, base::duration length) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(length);
    return base::wall_time{ms * (static_cast<std::int64_t>(w) + 1)};
}

}  // namespace chicorygap::metering
