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

/// The complete current server list of the service.
struct servers_changed {
    std::vector<server_info> servers{};
};

/// A server is leaving according to a peer or to the server itself. It stays so until the list drops it,
/// because the list lags and may still show it as live.
struct server_draining {
    base::backend_server_id server{};
};

/// A server's own load report.
struct load_reported {
    base::backend_server_id server{};
    /// Requests running and queued on the server when it measured them.
    int running = 0;
    int queued = 0;
    /// Time between the measurement and its receipt.
    base::duration age{};
};

/// Change of a server's prefix cache. Events of one server carry consecutive sequence numbers; a gap makes
/// what is known about that server uncertain.
struct cache_event {
    enum class change { added, removed, cleared };

    base::backend_server_id server{};
    std::uint64_t sequence = 0;
    change kind = change::added;
    std::uint64_t prefix = 0;
};

/// Another daemon's requests in flight; a server that is not listed has none.
struct peer_load_reported {
    base::vm_id peer{};
    std::vector<server_in_flight> loads{};
    /// Time between the peer's measurement and its receipt.
    base::duration age{};
};

/// An attempt was sent to a server.
struct attempt_started {
    attempt_id id{};
    base::backend_server_id server{};
    /// Longest prefix of the prompt, 0 if none; assumed to be cached by the server from now on.
    std::uint64_t prefix = 0;
};

/// Output arrived; the first one gives the time to first token.
struct attempt_output_received {
    attempt_id id{};
};

/// An attempt ended. `caller_gone` and `preempted` say nothing about the server.
struct attempt_finished {
    attempt_id id{};
    base::backend_server_id server{};
    base::result_code outcome = base::result_code::ok;
};

/// The live daemons of the fleet, including this one.
struct peers_changed {
    std::vector<peer_info> peers{};
};

using event = std::variant<servers_changed, server_draining, load_reported, cache_event, peer_load_reported,
                           attempt_started, attempt_output_received, attempt_finished, peers_changed>;

}  // namespace chicorygap::routing
