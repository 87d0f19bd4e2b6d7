/// @file
/// Waiting time while all servers restrict their requests.
#pragma once

#include "base/time.h"
#include "server_state.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace chicorygap::backpressure {
class signal_table;
}

namespace chicorygap::scheduling {

/// Upper bound of the waiting time that callers are told while all servers restrict their requests.
inline constexpr base::duration longest_signal_wait = std::chrono::seconds{30};

/// Load: all servers of a service have named rate limits, or times without requests.
/// @param ahead requests that start before.
/// @return time until the servers let the request start; nothing if one of them takes requests without limit.
std::optional<base::duration> wait_for_signals(const std::vector<server_state*>& servers,
                                               const backpressure::signal_table& signals, std::size_t ahead,
                                               base::time_point now);

}  // namespace chicorygap::scheduling
