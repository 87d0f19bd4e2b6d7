/// @file
/// What the scheduler learns of servers on shared machines.
#pragma once

#include "base/time.h"
#include "scheduling/scheduler.h"
#include "service_times.h"

#include <optional>
#include <vector>

namespace chicorygap::scheduling {

struct placement;
struct server_state;

/// Times of one attempt that are compared with the measured ones.
struct attempt_times {
    base::time_point started_at;
    std::optional<base::time_point> first_event_at;
    /// Expected time to the first event on an average server; zero if it shows nothing of the server's speed.
    base::duration average_first_event{};
    /// Expected time to the first event on the server, and part of it in which the request waits there.
    base::duration first_event{};
    base::duration wait{};
    /// The time of the whole request shows the server's speed: no other request waited there.
    bool comparable = false;
};

/// Learns the pace of the servers of one service from attempts and from the servers' reports.
///
/// Load pattern: servers of unequal speed on machines that others load for some hundred milliseconds. Each
/// attempt of this daemon is a measurement; `server_pace` holds what is known of a server, `service_times`
/// what is known of all. Used only with `scheduler_options::shared_machines`.
class shared_machines {
public:
    /// @param p server that the attempt starts on, not yet counted there.
    /// @return times to compare with the measured ones.
    [[nodiscard]] attempt_times started(const placement& p, base::time_point now) const;

    /// Moves the prefill queues of the servers on to the present time.
    /// @param prefill_tokens_per_ms speed of an average server.
    static void advance(const std::vector<server_state*>& servers, double prefill_tokens_per_ms,
                        base::time_point now);

    /// Records that a running attempt has no first event yet; nothing happens if it has.
    static void missing_first_event(server_state& s, const attempt_times& t, base::time_point now);

    /// Records a report of a server.
    void reported(server_state& s, const server_report& r, bool generation, base::time_point now) const;

    /// Records the first event of a stream.
    void first_event(server_state& s, attempt_times& t, base::time_point now);

    /// Records the end of an attempt.
    void ended(server_state& s, const scheduled_request& request, const attempt_times& t, outcome o,
               base::time_point now);

    [[nodiscard]] const service_times& times() const noexcept { return times_; }

private:
    /// @return time until one of the requests on a full server ends.
    [[nodiscard]] base::duration time_until_place(const server_state& s, base::time_point now) const;

    service_times times_;
};

}  // namespace chicorygap::scheduling
