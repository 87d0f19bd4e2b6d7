/// @file
/// Choice of the server for one request.
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "catalog/service.h"
#include "scheduling/work.h"
#include "server_state.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::scheduling {

/// What placement needs besides the servers.
struct placement_context {
    base::zone_id zone;
    std::optional<catalog::engine_terms> engine;
    /// Prompt tokens read in a millisecond, for servers without a measurement.
    double tokens_per_ms = 0;
    /// Prompts from this length on interrupt the streams beside them for too long; 0 if none do.
    std::int64_t long_prompt_tokens = 0;
    /// Part of the servers that read long prompts.
    double long_prompt_share = 0;
    /// Other daemons that send to the same servers; what they sent lately is not known yet.
    std::size_t peers = 0;
    base::random_function random;
};

/// Sets the position from 0 to 1 of each server among those of its zone, in an order that all daemons share.
void assign_positions(const std::vector<server_state*>& servers);

/// A server and what is expected of it.
struct placement {
    server_state* server = nullptr;
    /// Prompt tokens that the server does not keep yet.
    std::int64_t unread_tokens = 0;
};

/// Chooses the server whose first token is expected soonest, among those with a free place.
///
/// Answers these load patterns: long prompts that queue behind one another on one server while others idle;
/// shared prompt parts that every server would read again; a server whose memory is full although it has free
/// slots; daemons that all choose the same server; streams with short pauses that are interrupted by the
/// reading of long prompts, which therefore keep to a part of the servers.
/// @param w the request.
/// @param candidates servers that may be used.
/// @param c context.
/// @return nothing if no candidate has a free place.
std::optional<placement> choose_server(const work& w, const std::vector<server_state*>& candidates,
                                       const placement_context& c, base::time_point now);

}  // namespace chicorygap::scheduling
