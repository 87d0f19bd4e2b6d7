/// @file
/// Usage reports to the platform's billing interface.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "ports/order_service.h"

#include <cstdint>
#include <vector>

namespace chicorygap::ports {

/// Figures of one service, workspace and class.
struct usage_line {
    base::service_id service;
    base::workspace_id workspace;
    base::class_id class_id;
    std::uint64_t requests = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;
    bool carried_over = false;  ///< includes late counts of an earlier window.

    bool operator==(const usage_line&) const = default;
};

/// Usage of one zone in one window.
struct usage_report {
    base::zone_id zone;
    base::wall_time window_start{};
    std::uint64_t term = 0;  ///< fencing token of the reporting role holder.
    std::vector<usage_line> lines;

    bool operator==(const usage_report&) const = default;
};

/// Reply to a report. The first report of a window is billed, whatever later ones say.
struct usage_reply {
    bool accepted = false;  ///< the window is billed with exactly these figures.
    bool repeated = false;  ///< the window was billed before.
};

/// Billing interface. Calls throw `base::error` with `platform_unavailable` or `platform_reply_lost`.
class billing_service {
public:
    virtual ~billing_service() = default;
    virtual usage_reply report(const usage_report& r, base::duration timeout) = 0;
    /// As `report`, but only if `may_send` allows it.
    /// @throws base::error with `lease_not_held`, without effect, when it does not.
    virtual usage_reply report_guarded(const usage_report& r, const send_guard& may_send,
                                       base::duration timeout);
};

}  // namespace chicorygap::ports
