/// @file
/// Error budget burn rates of this daemon.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "burn/digest.h"
#include "burn/recorder.h"
#include "burn/report.h"
#include "gateway/registry.h"
#include "gateway/request_record.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace chicorygap::daemon_app {

/// Compares completed requests with the objectives of their classes and reports error budget burn rates.
///
/// A report covers the requests of this daemon only; it lists the other live daemons as missing.
/// All members are safe for use by several threads.
class burn_agent {
public:
    burn_agent(base::vm_id vm, const gateway::registry& r);

    /// Counts a completed request, unless its caller caused the failure.
    void record(const gateway::request_record& r);

    /// @param live_daemons live daemons of the fleet.
    /// @param at wall time shown in the report.
    /// @return report as JSON.
    [[nodiscard]] std::string json(const std::vector<base::vm_id>& live_daemons, base::wall_time at) const;
    /// @return the same report as an HTML page.
    [[nodiscard]] std::string html(const std::vector<base::vm_id>& live_daemons, base::wall_time at) const;

private:
    [[nodiscard]] burn::report make_report(const std::vector<base::vm_id>& live_daemons) const;
    [[nodiscard]] std::vector<burn::objective> objectives() const;

    const gateway::registry& registry_;
    mutable std::mutex mutex_;
    burn::recorder recorder_;
};

}  // namespace chicorygap::daemon_app
