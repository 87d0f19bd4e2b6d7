/// @file
/// Objectives and outcomes.
#pragma once

#include "base/id.h"
#include "base/result_code.h"
#include "base/tier.h"

namespace chicorygap::burn {

/// Share of the requests of one class that must meet their target.
struct objective {
    base::service_id service;
    base::class_id service_class;
    base::tier tier;
    /// Between 0 and 1, both excluded. The error budget is 1 - `attainment`.
    double attainment = 0.99;
};

/// One finished or refused request.
struct outcome {
    base::service_id service;
    base::class_id service_class;
    base::workspace_id workspace;
    /// The request completed within its target.
    bool attained = false;
    /// Reason of a miss; `ok` for one that completed too late.
    base::result_code code = base::result_code::ok;
    /// Zone and backend server of the last attempt; empty when there was none.
    base::zone_id zone;
    base::backend_server_id server;
};

}  // namespace chicorygap::burn
