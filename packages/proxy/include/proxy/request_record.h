/// @file
/// Outcome of one request, for logs and metrics.
#pragma once

#include "base/id.h"
#include "base/result_code.h"
#include "base/run_state.h"
#include "base/tier.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chicorygap::proxy {

/// Outcome of one request, with what decided it.
struct request_record {
    base::request_id id;
    std::string route;
    base::service_id service;
    base::workspace_id workspace;
    base::tier tier;
    /// Status that the caller received; 0 if it had left or its answer was broken off.
    int status = 0;
    base::result_code code = base::result_code::ok;
    base::run_state run_state = base::run_state::not_run;
    std::uint32_t attempts = 0;
    base::backend_server_id server;
    /// What the last failed attempt reported.
    std::string failure_cause;
    base::duration queue_time{};
    std::optional<base::duration> time_to_first_output;
    base::duration total_time{};
    std::uint64_t event_count = 0;
    /// Longest time between two events of the stream.
    base::duration max_event_gap{};
    /// Tokens of the prompt; 0 for plain requests.
    std::int64_t prompt_tokens = 0;
    /// Of these, tokens that the server was expected to read.
    std::int64_t unread_tokens = 0;
    /// Requests that waited at the server when it last answered.
    std::optional<std::uint32_t> server_queue_length;
    /// Place of the server among the homes of the prompt's shared part; absent if it is none of them.
    std::optional<std::size_t> home_rank;
    /// Version of the configuration that decided, 0 if none was known.
    std::uint64_t catalog_version = 0;
    /// Time since the list of servers last changed; absent before the first one.
    std::optional<base::duration> server_list_age;
    /// Time since a peer last reported its load; absent without peers.
    std::optional<base::duration> peer_load_age;
};

}  // namespace chicorygap::proxy
