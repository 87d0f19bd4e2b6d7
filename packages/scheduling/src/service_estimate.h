/// @file
/// Expected times of a request on a server on a shared machine.
#pragma once

#include "base/time.h"

#include <cstdint>

namespace chicorygap::scheduling {

struct placement_context;
struct scheduled_request;
struct server_state;

/// Expected times of one request on one server, from its start.
struct service_estimate {
    /// Time to the first event if the server were an average one in its usual state, without calibration.
    /// Zero for plain services.
    base::duration average_first_event{};
    base::duration first_event{};
    /// Part of the time to the first event in which the request waits on the server.
    base::duration wait{};
    /// Time to the end of the response.
    base::duration total{};
};

/// Work on one server before the first event of a generation.
struct prefill_work {
    double wait_ms = 0;  ///< until the server starts the prefill, at its usual pace
    std::int64_t prefill_tokens = 0;
    double kv_transfer_ms = 0;
};

/// @return requests that are expected to run or wait on the server; with shared machines its own reports
/// count as well.
std::uint32_t present_requests(const server_state& s, const placement_context& c, base::time_point now);

/// @return KV cache tokens of these requests; those that no daemon tells are as large as the others.
/// @param unknown_request_tokens size of a request of which nothing is known.
std::int64_t present_kv_cache_tokens(const server_state& s, std::int64_t unknown_request_tokens,
                                     const placement_context& c, base::time_point now);

/// @return prompt tokens per millisecond that the server processes at this moment.
double present_prefill_speed(const server_state& s, const placement_context& c, base::time_point now);

/// @return prompt tokens per millisecond that the server processes in the long run.
double usual_prefill_speed(const server_state& s, const placement_context& c);

/// @param c context with measured times.
/// @return expected times of a generation.
service_estimate estimate_generation(const server_state& s, const scheduled_request& request,
                                     const prefill_work& work, const placement_context& c,
                                     base::time_point now);

/// @param c context with measured times.
/// @return expected times of a request to a plain service.
service_estimate estimate_plain_request(const server_state& s, const placement_context& c,
                                        base::time_point now);

/// @param e expected times of the request on the server.
/// @param c context with measured times.
/// @return false if the caller is not expected to wait for the end of the response, or if the request can
/// only be late and others wait on the server, which would become late as well. A server on which nothing is
/// known to run is always tried: its times are measured only in that way.
bool can_serve_in_time(const server_state& s, const scheduled_request& request, const service_estimate& e,
                       const placement_context& c, base::time_point now);

/// @param c context with measured times.
/// @return cost of a server of a plain service in milliseconds: the time that it needs for the requests there
/// and for one more, spread over its slots.
double plain_server_cost_ms(const server_state& s, const placement_context& c, base::time_point now);

}  // namespace chicorygap::scheduling
