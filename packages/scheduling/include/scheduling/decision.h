/// @file
/// Decisions of the scheduler.
#pragma once

#include "base/result_code.h"
#include "base/time.h"
#include "catalog/backend_server.h"
#include "net/address.h"
#include "scheduling/scheduled_request.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>

namespace chicorygap::scheduling {

/// Starts an attempt of the request on the server.
struct start_decision {
    local_request_id id = local_request_id::none;
    catalog::backend_server server;
    /// Server from which the chosen one transfers the KV cache of prompt parts that it has not cached.
    std::optional<net::address> kv_transfer_source;
    /// Prompt tokens that the server is expected to process itself.
    std::int64_t prefill_tokens = 0;
    /// Rank of the server among the affinity servers of the shared prompt part, from 0; absent for others.
    std::optional<std::size_t> affinity_rank;
};

/// Rejects the request. The scheduler has removed it.
struct reject_decision {
    local_request_id id = local_request_id::none;
    base::result_code code = base::result_code::queue_full;
    /// Time after which the caller should retry.
    base::duration retry_after{};
};

/// Decision on one request.
using decision = std::variant<start_decision, reject_decision>;

}  // namespace chicorygap::scheduling
