/// @file
/// Sums of the daemons' load reports by zone.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "catalog/service.h"
#include "scheduling/load.h"
#include "scheduling/zone_load.h"
#include "server_state.h"

#include <optional>
#include <vector>

namespace chicorygap::scheduling {

class peer_loads;

/// What the sums are made from besides the servers.
struct zone_load_inputs {
    base::zone_id home;  ///< zone of this daemon
    const peer_loads& peers;
    load_report local;  ///< load from this daemon
    std::optional<catalog::engine_parameters> engine;
    /// Prefill speed in tokens per millisecond, for servers without measurements of their own.
    double prefill_tokens_per_ms = 0;
    /// Mean number of prompt tokens that a request adds to the prefill queue of its server.
    double mean_prefill_tokens = 0;
};

/// @param servers servers of the service with the sums of their loads.
/// @return load of each zone that has a server which takes requests, or a daemon that reported.
std::vector<zone_load> sum_zone_loads(const std::vector<server_state*>& servers, const zone_load_inputs& in,
                                      base::time_point now);

}  // namespace chicorygap::scheduling
