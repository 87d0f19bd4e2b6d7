/// @file
/// Received usage reports.
#pragma once

#include "ports/billing_service.h"

#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace chicorygap::standin_platform {

/// All reports of one zone and window, in order of arrival. The first one is billed.
struct billed_window {
    std::vector<ports::usage_report> reports;
    bool differing = false;  ///< a later report has other figures than the billed one.
};

/// Bills each window once and keeps every report, so that tests can find differing ones.
class billing_book {
public:
    ports::usage_reply report(const ports::usage_report& r);

    /// @return every window, by zone and start.
    [[nodiscard]] std::vector<billed_window> windows() const;

private:
    mutable std::mutex mutex_;
    std::map<std::pair<std::string, base::wall_time>, billed_window> windows_;  // by zone and start
};

}  // namespace chicorygap::standin_platform
