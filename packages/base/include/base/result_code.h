/// @file
/// Numbered result codes. docs/result-codes.md is the table for callers and operators.
#pragma once

#include <cstdint>
#include <string_view>

namespace chicorygap::base {

/// Result of a request or an operation. The number is stable across releases.
/// 1xxx caller, 2xxx overload, 3xxx backend server, 4xxx configuration, 5xxx platform, 6xxx internal.
enum class result_code : std::uint16_t {
    ok = 0,

    key_missing = 1001,
    key_unknown = 1002,
    key_withdrawn = 1003,
    route_unknown = 1004,
    route_not_open = 1005,
    model_unknown = 1006,
    body_too_large = 1007,
    body_malformed = 1008,
    header_too_large = 1009,
    caller_too_slow = 1010,
    caller_gone = 1011,
    idempotency_key_missing = 1012,
    idempotency_key_reused = 1013,
    method_not_allowed = 1014,

    queue_full = 2001,
    deadline_unreachable = 2002,
    shed_for_higher_tier = 2003,
    preempted = 2004,
    workspace_limit = 2005,
    connections_exhausted = 2006,
    draining = 2007,
    tier_closed = 2008,

    no_backend_server = 3001,
    connect_failed = 3002,
    first_byte_timeout = 3003,
    token_gap_timeout = 3004,
    answer_truncated = 3005,
    answer_mismatched = 3006,
    backend_refused = 3007,
    backend_failed = 3008,
    retries_exhausted = 3009,
    prompt_quarantined = 3010,

    document_invalid = 4001,
    settings_invalid = 4002,
    document_conflict = 4003,
    document_stale = 4004,
    not_ready = 4005,
    isolated_key_expired = 4006,

    platform_unavailable = 5001,
    platform_conflict = 5002,
    platform_reply_lost = 5003,
    lease_not_held = 5004,
    record_unavailable = 5005,
    outcome_unknown = 5006,
    order_refused = 5007,

    internal = 6001,
};

/// @return the code's name, as in the table.
std::string_view to_string(result_code code) noexcept;

/// @return the HTTP status that a caller receives for the code.
int http_status(result_code code) noexcept;

}  // namespace chicorygap::base
