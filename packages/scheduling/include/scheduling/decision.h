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

/// Send the request to the server now.
struct start_decision {
    local_request_id id = local_request_id::none;
    catalog::backend_server server;
    /// Server from which it copies prompt parts that it does not keep.
    std::optional<net::address> kv_transfer_source;
    /// Prompt tokens that the server is expected to read.
    std::int64_t prefill_tokens = 0;
    /// Place of the server among the homes of the prompt's shared part, from 0; absent if it is none of them.
    std::optional<std::size_t> affinity_rank;
};

/// Refuse the request; the scheduler has forgotten it.
struct reject_decision {
    local_request_id id = local_request_id::none;
    base::result_code code = base::result_code::queue_full;
    /// When the same request will find room.
    base::duration retry_after{};
};

using decision = std::variant<start_decision, reject_decision>;

}  // namespace chicorygap::scheduling
