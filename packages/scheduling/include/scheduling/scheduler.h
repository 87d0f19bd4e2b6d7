/// @file
/// Waiting, placement and refusal of one service's requests.
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "catalog/backend_server.h"
#include "catalog/service.h"
#include "scheduling/decision.h"
#include "scheduling/load.h"
#include "scheduling/scheduled_request.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace chicorygap::scheduling {

/// How one attempt ended.
enum class outcome {
    success,
    rejected,     ///< the server did not run it
    replaced,     ///< another server has the address
    failed,       ///< the server ran it and reported a failure
    unreachable,  ///< no connection, a broken one, or silence
    cancelled,    ///< ended from this side; says nothing about the server
};

struct scheduler_options {
    base::vm_id self;
    base::zone_id zone;
};

/// What the scheduler knows, for logs, metrics and the ordering of servers.
struct scheduler_status {
    std::size_t servers = 0;
    std::size_t ejected = 0;
    std::size_t waiting = 0;
    std::size_t running = 0;
    /// Requests that run or wait at other daemons, as last reported.
    std::size_t peer_running = 0;
    std::size_t peer_waiting = 0;
    /// Prompt tokens that servers of the whole fleet had to read, per second.
    double prefill_tokens_per_s = 0;
    /// Prompt tokens that one server reads in a millisecond; 0 until one was seen.
    double prefill_tokens_per_ms = 0;
};

/// Decides which requests of one service start where, which wait and which are refused.
///
/// Concept: requests wait here and not in a server's queue, so that the order stays ours. A server gets what
/// it can run now: slots and memory, counted over all daemons. Generations go where the first token is
/// expected soonest, given the prompt tokens that the server has yet to read and the parts that it keeps.
///
/// Usage:
/// @code
/// scheduler s{{vm, zone}, random};
/// s.set_servers(list, now);
/// for (const auto& a : s.submit(w, now)) { ... }
/// @endcode
/// Not thread-safe; contains no I/O and reads no clock.
class scheduler {
public:
    scheduler(scheduler_options o, base::random_function random);
    ~scheduler();
    scheduler(const scheduler&) = delete;
    scheduler& operator=(const scheduler&) = delete;

    /// @param terms engine of the service; absent for plain services.
    void set_engine(const std::optional<catalog::engine_parameters>& terms);

    /// @param list all servers of the service.
    /// @return requests that can start now.
    std::vector<decision> set_servers(const std::vector<catalog::backend_server>& list, base::time_point now);

    /// Takes the load of a peer; it replaces the last report.
    /// @param valid_until time after which the report is forgotten.
    std::vector<decision> set_peer_load(const base::vm_id& peer, const load_report& r,
                                        base::time_point valid_until, base::time_point now);

    /// A new request. Exactly one `start` or `refuse` follows, unless it is withdrawn before.
    std::vector<decision> submit(scheduled_request w, base::time_point now);

    /// The request's attempt failed and it may try another server. The attempt must have been reported by
    /// `finished`. Servers that it tried are avoided.
    std::vector<decision> resubmit(local_request_id id, base::time_point now);

    /// The request needs no server any more. An attempt in flight must have been reported by `finished`.
    void remove(local_request_id id);

    /// The attempt's answer has begun.
    void first_output(local_request_id id, base::time_point now);

    /// The attempt's server said how many requests wait there.
    void set_server_queue_length(local_request_id id, std::uint32_t waiting, base::time_point now);

    /// A pause between two events of the stream was longer than is on time.
    void token_gap_exceeded(local_request_id id, base::time_point now);

    /// The attempt has ended and its place is free.
    std::vector<decision> attempt_finished(local_request_id id, outcome o, base::time_point now);

    /// Refuses what has waited too long; expected every 50 ms while requests wait.
    std::vector<decision> tick(base::time_point now);

    /// @return own load per server.
    [[nodiscard]] load_report own_load(base::time_point now) const;
    [[nodiscard]] scheduler_status status(base::time_point now) const;
    /// @return true while requests wait.
    [[nodiscard]] bool has_waiting() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

}  // namespace chicorygap::scheduling
