/// @file
/// Attempt that broke off because its server ended.
#pragma once

#include "base/time.h"
#include "crash_guard/crash_report.h"

#include <cstdint>

namespace chicorygap::crash_guard {

/// Attempt that broke off because its server ended, or perhaps for that reason.
struct ended_attempt {
    std::uint64_t server = 0;    ///< hash of the id of the server, the same on all daemons
    std::uint64_t instance = 0;  ///< hash that also tells apart the processes of one server
    attempt_progress progress = attempt_progress::none;
    base::duration length{};  ///< from the start of the attempt to its end
    /// The answer had gone on past its beginning, which `prompt_guard::record_progress` was told.
    bool progressed = false;
    /// False if the process may live: it accepts connections, and no other one was open that could tell.
    bool confirmed = true;
};

}  // namespace chicorygap::crash_guard
