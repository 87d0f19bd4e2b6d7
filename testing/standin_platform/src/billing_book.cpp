#include "standin_platform/billing_book.h"

namespace chicorygap::standin_platform {

ports::usage_reply billing_book::report(const ports::usage_report& r) {
    const std::lock_guard lock{mutex_};
    auto& window = windows_[{r.zone.str(), r.window_start}];
    window.reports.push_back(r);
    const auto& billed = window.reports.front();
    const bool same = billed.lines == r.lines;
    window.differing = window.differing || !same;
    return {same, window.reports.size() > 1};
}

std::vector<billed_window> billing_book::windows() const {
    const std::lock_guard lock{mutex_};
    std::vector<billed_window> out;
    for (const auto& [key, window] : windows_) {
        out.push_back(window);
    }
    return out;
}

}  // namespace chicorygap::standin_platform
