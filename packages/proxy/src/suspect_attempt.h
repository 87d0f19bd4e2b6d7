/// @file
/// Attempt that was at the beginning of its answer on a server that may have ended.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "catalog/backend_server.h"
#include "crash_guard/crash_report.h"
#include "crash_guard/part_ids.h"

namespace chicorygap::proxy {

/// Attempt that was at the beginning of its answer on a server that may have ended.
struct suspect_attempt {
    base::request_id request;
    catalog::backend_server server;
    crash_guard::part_ids parts;
    crash_guard::attempt_progress progress = crash_guard::attempt_progress::none;
    bool progressed = false;  ///< the answer had gone on past its beginning
    base::duration length{};  ///< from the start of the attempt until it broke off
};

}  // namespace chicorygap::proxy
