/// @file
/// Log of load reports of servers that cannot be used.
#pragma once

#include "base/id.h"
#include "base/time.h"

#include <cstdint>
#include <optional>

namespace chicorygap::proxy {

/// Counts load reports that cannot be used and logs them at a bounded rate.
///
/// Load pattern: a faulty release sends wrong figures in each of its responses, thousands a minute. The log
/// gets one line every ten seconds, with the number of reports since the line before.
class invalid_report_log {
public:
    /// Records an unusable report.
    /// @param server server that sent it.
    void invalid(const base::backend_server_id& server, base::time_point now);

    /// @return number of unusable reports.
    [[nodiscard]] std::uint64_t count() const noexcept { return count_; }

private:
    std::uint64_t count_ = 0;
    std::uint64_t logged_count_ = 0;
    std::optional<base::time_point> logged_at_;
};

}  // namespace chicorygap::proxy
