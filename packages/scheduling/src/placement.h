/// @file
/// Choice of the server for one request.
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "catalog/service.h"
#include "scheduling/scheduled_request.h"
#include "server_state.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::scheduling {

/// What placement needs besides the servers.
struct placement_context {
    base::zone_id zone;
    std::optional<catalog::engine_parameters> engine;
    /// Prompt tokens read in a millisecond, for servers without a measurement.
    double prefill_tokens_per_ms = 0;
    /// Usual number of prompt tokens that a request adds to its server's queue.
    double tokens_per_prompt = 0;
    /// Prompts from this length on interrupt the streams beside them for too long; 0 if none do.
    std::int64_t long_prompt_tokens = 0;
    /// Part of the servers that read long prompts.
    double long_prompt_share = 0;
    /// Other daemons that send to the same servers; what they sent lately is not known yet.
    std::size_t peers = 0;
    base::random_function random;
};

/// @return true if reading the prompt interrupts the streams beside it for too long.
bool is_long(const scheduled_request& w, const placement_context& c);

/// Sets the position from 0 to 1 of each server among those of its zone, in an order that all daemons share.
void assign_positions(const std::vector<server_state*>& servers);

/// A server and what is expected of it.
struct placement {
    server_state* server = nullptr;
    /// Prompt tokens that the server has to read.
    std::int64_t prefill_tokens = 0;
    /// Server that is expected to keep shared parts of the prompt which the chosen one may lack; null if none
    /// does, or if servers cannot copy.
    const server_state* source = nullptr;
    /// Place of the server among the homes of the prompt's shared part; absent if it is none of them.
    std::optional<std::size_t> affinity_rank;
    /// Reading the prompt interrupts the streams beside it for too long.
    bool long_prompt = false;
};

/// Chooses the server whose first token is expected soonest, among those with a free place.
///
/// Concept: the last part of a prompt that others share has a home, the same server for every daemon, and a
/// few successors to which its requests move while the home is busy. So the part is read once in the fleet,
/// without any message about caches; another server copies it from there. How busy a server is follows from
/// the queue that this daemon made, from what peers said lately, and, since a queue of prompts lasts shorter
/// than the time between two reports, from the rate at which peers fill it.
///
/// Answers these load patterns: servers that come and go, so that homes move to servers which have read
/// nothing; long prompts that queue behind one another on one server while others idle; shared prompt parts
/// that every server would read again; one part that gets much of the traffic; a server whose memory is full
/// although it has free slots; daemons that all choose the same server; streams with short pauses that are
/// interrupted by the reading of long prompts, which therefore keep to a part of the servers.
/// @param w the request.
/// @param candidates servers that may be used.
/// @param c context.
/// @return nothing if no candidate has a free place.
std::optional<placement> choose_server(const scheduled_request& w,
                                       const std::vector<server_state*>& candidates,
                                       const placement_context& c, base::time_point now);

}  // namespace chicorygap::scheduling
