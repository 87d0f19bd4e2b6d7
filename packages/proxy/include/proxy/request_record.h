/// @file
/// Outcome of one request, for logs and metrics.
#pragma once

#include "backpressure/server_signals.h"
#include "base/id.h"
#include "base/result_code.h"
#include "base/run_state.h"
#include "base/tier.h"
#include "base/time.h"
#include "http/message.h"
#include "scheduling/server_report.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chicorygap::proxy {

/// Outcome of one request and the inputs of its routing decision.
struct request_record {
    base::request_id id;
    std::string route;
    base::service_id service;
    base::workspace_id workspace;
    base::tier tier;
    /// HTTP status sent to the caller; 0 if the caller disconnected or the response was aborted.
    int status = 0;
    base::result_code code = base::result_code::ok;
    base::run_state run_state = base::run_state::not_run;
    std::uint32_t attempts = 0;
    base::backend_server_id server;
    /// Cause of the last failed attempt.
    std::string failure_cause;
    /// Time from the request's arrival to its first attempt.
    base::duration queue_time{};
    /// Time from the request's arrival to the first event of its stream.
    std::optional<base::duration> time_to_first_output;
    base::duration total_time{};
    std::uint64_t event_count = 0;
    /// Id of the last event of the stream.
    std::optional<std::string> last_event_id;
    /// How the end of the last response was marked.
    http::body_framing framing = http::body_framing::none;
    /// Bytes of the request that its server had not acknowledged when the attempt was given up; absent if
    /// none was.
    std::optional<std::size_t> unacknowledged_bytes;
    /// Longest time between two consecutive events of the stream.
    base::duration max_token_gap{};
    /// Tokens of the prompt; 0 for requests that are not generations.
    std::int64_t prompt_tokens = 0;
    /// Prompt tokens that the server was expected to prefill.
    std::int64_t prefill_tokens = 0;
    /// Requests queued at the server according to its last response.
    std::optional<std::uint32_t> server_queue_length;
    /// Load that the server of the last response reported; set only with shared machines.
    std::optional<scheduling::server_report> server_load;
    /// What the server of the last response said of itself.
    backpressure::server_signals server_signals;
    /// Rank of the server among the affinity servers of the shared prompt prefix; absent if the server is not
    /// one of them.
    std::optional<std::size_t> affinity_rank;
    /// Version of the configuration that the request was routed with; 0 if none was loaded.
    std::uint64_t catalog_version = 0;
    /// Time since the last change of the server list; absent before the first list.
    std::optional<base::duration> server_list_age;
    /// Time since the last load report of any peer; absent if none was received.
    std::optional<base::duration> peer_load_age;
};

}  // namespace chicorygap::proxy
