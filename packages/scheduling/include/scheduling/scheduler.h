/// @file
/// Queueing, placement and rejection of the requests of one service.
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "catalog/backend_server.h"
#include "catalog/service.h"
#include "scheduling/decision.h"
#include "scheduling/load.h"
#include "scheduling/scheduled_request.h"
#include "scheduling/server_report.h"
#include "scheduling/zone_preference.h"
#include "scheduling/zone_status.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace chicorygap::backpressure {
class signal_table;
}

namespace chicorygap::scheduling {

/// Result of one attempt.
enum class outcome {
    success,
    rejected,     ///< the server did not run the request
    replaced,     ///< another server has the address now
    failed,       ///< the server ran the request and reported a failure
    unreachable,  ///< connection refused or aborted, or no response in time
    cancelled,    ///< ended by this daemon; not counted in the server's health
};

/// Environment of the scheduler.
struct scheduler_options {
    base::vm_id self;
    base::zone_id zone;
    /// What the servers say of themselves, which bounds the starts on each of them; null for no bounds. Must
    /// outlive the scheduler.
    backpressure::signal_table* signals = nullptr;
    /// Price of the traffic between zones; without it a server of another zone has a fixed cost.
    std::optional<zone_options> zones = std::nullopt;
    /// The machines of the servers are shared with the work of others, and servers report their load and
    /// pace. The scheduler then uses these reports, and starts a request only where it can still be served in
    /// time.
    bool shared_machines = false;
};

/// State of the scheduler for logs, metrics and autoscaling.
struct scheduler_status {
    std::size_t servers = 0;
    std::size_t ejected = 0;
    std::size_t waiting = 0;
    std::size_t running = 0;
    /// Requests that run or wait at other daemons according to their last reports.
    std::size_t peer_running = 0;
    std::size_t peer_waiting = 0;
    /// Recent rate of prompt tokens that all servers of the service had to process for all daemons.
    double prefill_tokens_per_s = 0;
    /// Prefill speed of one server in tokens per millisecond; 0 until measured.
    double prefill_tokens_per_ms = 0;
    /// Whether requests leave their zone; absent without a price of the traffic between zones.
    std::optional<zone_status> zones;
};

/// Decides on which server each request of one service starts, which requests wait and which are rejected.
///
/// Requests wait in the scheduler rather than in the queue of a server, so that priority and fairness apply
/// until they start. A server gets only as many requests as its slots and KV cache can hold, counted over all
/// daemons. A generation goes to the server with the lowest expected time to first token, given the pending
/// prefill of the server and the prompt parts in its cache.
///
/// Usage:
/// @code
/// scheduler s{{vm, zone}, random};
/// s.set_servers(list, now);
/// for (const auto& d : s.submit(request, now)) { ... }
/// @endcode
/// Not thread-safe. Performs no I/O and reads no clock.
class scheduler {
public:
    scheduler(scheduler_options o, base::random_function random);
    ~scheduler();
    scheduler(const scheduler&) = delete;
    scheduler& operator=(const scheduler&) = delete;

    /// @param engine inference engine of the service; absent for plain services.
    void set_engine(const std::optional<catalog::engine_parameters>& engine);

    /// @param list all servers of the service.
    /// @return decisions on waiting requests.
    std::vector<decision> set_servers(const std::vector<catalog::backend_server>& list, base::time_point now);

    /// Stores the load report of a peer, which replaces the previous one.
    /// @param valid_until time after which the report is removed.
    /// @param zone zone of the peer, or the zone that the report sums up; empty if unknown.
    /// @return decisions on waiting requests.
    std::vector<decision> set_peer_load(const base::vm_id& peer, const load_report& r,
                                        base::time_point valid_until, base::time_point now,
                                        const base::zone_id& zone = {});

    /// Submits a new request. Exactly one `start_decision` or `reject_decision` follows, now or from a later
    /// call, unless the request is removed before.
    /// @return decisions on this request.
    std::vector<decision> submit(scheduled_request request, base::time_point now);

    /// Submits a request again after a failed attempt, which must have been reported with `attempt_finished`.
    /// Servers of earlier failed attempts are avoided.
    /// @return decisions on this request.
    std::vector<decision> resubmit(local_request_id id, base::time_point now);

    /// Removes a request. Its running attempt, if any, must have been reported with `attempt_finished`.
    void remove(local_request_id id);

    /// Reports that the first output of the current attempt has arrived.
    void first_output(local_request_id id, base::time_point now);

    /// Stores the number of waiting requests that the server of the current attempt reported.
    void set_server_queue_length(local_request_id id, std::uint32_t waiting, base::time_point now);

    /// Stores the load that the server of the current attempt reported. Has no effect without
    /// `scheduler_options::shared_machines`.
    void set_server_report(local_request_id id, const server_report& r, base::time_point now);

    /// Reports that the stream exceeded its maximum token gap.
    void token_gap_exceeded(local_request_id id, base::time_point now);

    /// Reports the end of the current attempt, which frees its slot.
    /// @return decisions on waiting requests.
    std::vector<decision> attempt_finished(local_request_id id, outcome o, base::time_point now);

    /// Starts waiting requests and rejects those that have waited too long; to be called every 50 ms while
    /// requests wait.
    /// @return decisions on waiting requests.
    std::vector<decision> tick(base::time_point now);

    /// @return load from this daemon on each server.
    [[nodiscard]] load_report local_load(base::time_point now) const;
    [[nodiscard]] scheduler_status status(base::time_point now) const;
    /// @return true while requests wait.
    [[nodiscard]] bool has_waiting() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

}  // namespace chicorygap::scheduling
