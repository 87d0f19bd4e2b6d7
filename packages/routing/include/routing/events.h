/// @file
/// Events that a router handles.
#pragma once

#include "base/id.h"
#include "base/result_code.h"
#include "base/time.h"
#include "routing/types.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace chicorygap::routing {

/// Complete server list of the service; replaces the previous list.
struct servers_changed {
    std::vector<server_info> servers{};
};

/// A server is draining according to a peer or to the server itself. The mark remains until the server list
/// drops the server, because the list lags and may still show the server as live.
struct server_draining {
    base::backend_server_id server{};
};

/// Load report that a server measured itself.
struct load_reported {
    base::backend_server_id server{};
    /// Requests that the server was running at the time of the measurement.
    int running = 0;
    /// Requests that the server had queued at the time of the measurement.
    int queued = 0;
    /// Time between the measurement and the receipt of the report.
    base::duration age{};
};

/// Change of a server's prefix cache. Events of one server carry consecutive sequence numbers; after a gap,
/// the known cache contents of that server may be wrong.
struct cache_event {
    enum class change { added, removed, cleared };

    base::backend_server_id server{};
    std::uint64_t sequence = 0;
    change kind = change::added;
    /// Hash of the prefix; unused for `cleared`.
    std::uint64_t prefix = 0;
};

/// Requests that another daemon has in flight; a server that is not listed has none.
struct peer_load_reported {
    base::vm_id peer{};
    std::vector<server_in_flight> loads{};
    /// Time between the peer's measurement and the receipt of the report.
    base::duration age{};
};

/// An attempt was sent to a server.
struct attempt_started {
    attempt_id id{};
    base::backend_server_id server{};
    /// Hash of the longest prefix of the prompt, 0 if none; assumed to be cached by the server from now on.
    std::uint64_t prefix = 0;
};

/// An attempt produced output. The first event of an attempt determines its time to first token.
struct attempt_output_received {
    attempt_id id{};
};

/// An attempt ended. The outcomes `caller_gone` and `preempted` do not affect the health of the server.
struct attempt_finished {
    attempt_id id{};
    base::backend_server_id server{};
    base::result_code outcome = base::result_code::ok;
};

/// Complete list of the live daemons of the fleet, including this daemon.
struct peers_changed {
    std::vector<peer_info> peers{};
};

using event = std::variant<servers_changed, server_draining, load_reported, cache_event, peer_load_reported,
                           attempt_started, attempt_output_received, attempt_finished, peers_changed>;

}  // namespace chicorygap::routing
