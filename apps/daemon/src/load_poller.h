/// @file
/// Polling of backend servers for load reports.
#pragma once

#include "gateway/registry.h"

#include <cstddef>

namespace chicorygap::daemon_app {

/// Polls the servers in round-robin order and passes their load reports to routing.
///
/// One call reads at most `max_polls_per_call` servers, so that the control traffic of a daemon does not grow
/// with the fleet: 10 polls per second of about 350 bytes each use 3.5 KB/s of the 10 KB/s that control
/// traffic may use.
class load_poller {
public:
    static constexpr std::size_t max_polls_per_call = 10;

    explicit load_poller(gateway::registry& r) : registry_{r} {}

    /// Polls the next servers; called once a second.
    void poll();

private:
    gateway::registry& registry_;
    std::size_t next_target_ = 0;
};

}  // namespace chicorygap::daemon_app
