/// @file
/// Selection of the server for one request.
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "catalog/service.h"
#include "scheduling/scheduled_request.h"
#include "server_state.h"
#include "service_estimate.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::backpressure {
class signal_table;
}

namespace chicorygap::scheduling {

class service_times;

/// Inputs of the placement besides the servers.
struct placement_context {
    base::zone_id zone;
    std::optional<catalog::engine_parameters> engine;
    /// Prefill speed in tokens per millisecond, for servers without measurements of their own.
    double prefill_tokens_per_ms = 0;
    /// Mean number of prompt tokens that a request adds to the prefill queue of its server.
    double mean_prefill_tokens = 0;
    /// Length in tokens from which on the prefill of a prompt makes streams on the same server exceed their
    /// token gap limit; 0 if long prompts are not separated.
    std::int64_t min_long_prompt_tokens = 0;
    /// Fraction of the servers that process long prompts; 0 if long prompts are not separated.
    double long_prompt_server_fraction = 0;
    /// Number of other daemons that use the same servers. Their latest requests are not reported yet.
    std::size_t peer_count = 0;
    /// Scale of a random cost in milliseconds, which spreads requests over servers of similar cost while the
    /// loads that peers reported are old; 0 while they are recent.
    double stale_load_spread_ms = 0;
    /// What the servers say of themselves; may be null.
    const backpressure::signal_table* signals = nullptr;
    base::random_function random;
    /// Measured times of the service; null without `scheduler_options::shared_machines`.
    const service_times* times = nullptr;
    /// Time to first token without the prefill; 0 if not measured.
    double base_latency_ms = 0;
};

/// @return true if the prefill of the prompt makes streams on the same server exceed their token gap limit.
bool is_long_prompt(const scheduled_request& request, const placement_context& c);

/// Sets the relative position, from 0 to 1, of each server in its zone, in an order that is the same on all
/// daemons.
void assign_zone_positions(const std::vector<server_state*>& servers);

/// Selected server and the expected work on it.
struct placement {
    server_state* server = nullptr;
    /// Prompt tokens that the server has to process.
    std::int64_t prefill_tokens = 0;
    /// Server that is expected to have cached the shared prompt parts which the selected one may lack; null
    /// if there is none or if the engine does not support KV transfers.
    const server_state* kv_transfer_source = nullptr;
    /// Rank of the server among the affinity servers of the shared prompt part, from 0; absent for others.
    std::optional<std::size_t> affinity_rank;
    /// The prefill of the prompt makes streams on the same server exceed their token gap limit.
    bool long_prompt = false;
    /// Expected time to the first event plus penalties, by which servers are compared.
    double cost_ms = 0;
    /// Parts of the prompt are expected to come from another server.
    bool kv_transfer = false;
    /// Expected times; set only with `scheduler_options::shared_machines`.
    service_estimate estimate;
};

/// Shortest expected times of a request on any server that is in use, whether or not it has a free place.
struct shortest_times {
    base::duration present{};    ///< with the prompts that wait on the server now
    base::duration when_idle{};  ///< if nothing waited there
    base::duration first_event_when_idle{};
};

/// @param c context with measured times.
/// @return nothing if no server is in use.
std::optional<shortest_times> find_shortest_times(const scheduled_request& request,
                                                  const std::vector<server_state*>& servers,
                                                  const placement_context& c, base::time_point now);

/// Selects the server with the lowest cost among those with free capacity. The cost is the expected time to
/// first token plus penalties, in milliseconds.
///
/// Rendezvous hashing of the last shared prompt part gives a few ranked affinity servers, the same on every
/// daemon. Requests go to the first of them, and to the next ones while it is busy. Thus each part is
/// processed about once in the fleet without messages about cache contents; other servers get it by KV
/// transfer. The load of a server is the prefill queue made by this daemon, plus the last reports of the
/// peers. As prefill queues change faster than reports arrive, the rate at which peers fill them also counts.
///
/// Handles these load patterns:
/// - servers that join and leave, which moves parts to affinity servers with empty caches;
/// - long prompts that queue on one server while others are idle;
/// - shared prompt parts that every server would process again;
/// - one part that gets much of the traffic;
/// - servers whose KV cache is full although they have free slots;
/// - daemons that select the same server at the same time;
/// - servers that name a rate limit or a time without requests: they look free and get no more than that;
/// - servers that appear to be free in old reports, long after other daemons have filled them;
/// - with shared machines, servers with a free slot whose prefill queue lasts longer than the caller waits:
/// they
///   are no candidates;
/// - streams with token gap limits that the prefill of long prompts interrupts: long prompts are restricted
///   to a group of the servers.
/// @param request request to place.
/// @param candidates servers that may be used.
/// @param c context.
/// @return nothing if no candidate has free capacity.
std::optional<placement> choose_server(const scheduled_request& request,
                                       const std::vector<server_state*>& candidates,
                                       const placement_context& c, base::time_point now);

}  // namespace chicorygap::scheduling
