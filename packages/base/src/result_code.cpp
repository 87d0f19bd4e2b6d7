#include "base/result_code.h"

#include <algorithm>
#include <array>

namespace chicorygap::base {

namespace {

struct entry {
    result_code code;
    std::string_view name;
    int status;
};

constexpr int status_internal_error = 500;

using enum result_code;

constexpr std::array entries{
    entry{ok, "ok", 200},
    entry{key_missing, "key_missing", 401},
    entry{key_unknown, "key_unknown", 401},
    entry{key_withdrawn, "key_withdrawn", 401},
    entry{route_unknown, "route_unknown", 404},
    entry{route_not_open, "route_not_open", 403},
    entry{model_unknown, "model_unknown", 404},
    entry{body_too_large, "body_too_large", 413},
    entry{body_malformed, "body_malformed", 400},
    entry{header_too_large, "header_too_large", 431},
    entry{caller_too_slow, "caller_too_slow", 408},
    entry{caller_gone, "caller_gone", 499},
    entry{idempotency_key_missing, "idempotency_key_missing", 400},
    entry{idempotency_key_reused, "idempotency_key_reused", 422},
    entry{method_not_allowed, "method_not_allowed", 405},
    entry{queue_full, "queue_full", 429},
    entry{deadline_unreachable, "deadline_unreachable", 503},
    entry{shed_for_higher_tier, "shed_for_higher_tier", 503},
    entry{preempted, "preempted", 503},
    entry{workspace_limit, "workspace_limit", 429},
    entry{connections_exhausted, "connections_exhausted", 503},
    entry{draining, "draining", 503},
    entry{tier_closed, "tier_closed", 503},
    entry{no_backend_server, "no_backend_server", 503},
    entry{connect_failed, "connect_failed", 502},
    entry{first_byte_timeout, "first_byte_timeout", 504},
    entry{token_gap_timeout, "token_gap_timeout", 504},
    entry{answer_truncated, "answer_truncated", 502},
    entry{answer_mismatched, "answer_mismatched", 502},
    entry{backend_refused, "backend_refused", 503},
    entry{backend_failed, "backend_failed", 502},
    entry{retries_exhausted, "retries_exhausted", 503},
    entry{prompt_quarantined, "prompt_quarantined", 503},
    entry{document_invalid, "document_invalid", 400},
    entry{settings_invalid, "settings_invalid", 500},
    entry{document_conflict, "document_conflict", 409},
    entry{document_stale, "document_stale", 409},
    entry{not_ready, "not_ready", 503},
    entry{isolated_key_expired, "isolated_key_expired", 401},
    entry{platform_unavailable, "platform_unavailable", 503},
    entry{platform_conflict, "platform_conflict", 409},
    entry{platform_reply_lost, "platform_reply_lost", 504},
    entry{lease_not_held, "lease_not_held", 503},
    entry{record_unavailable, "record_unavailable", 503},
    entry{outcome_unknown, "outcome_unknown", 409},
    entry{order_refused, "order_refused", 409},
    entry{internal, "internal", status_internal_error},
};

const entry* find(result_code code) noexcept {
    const auto it =
        std::find_if(entries.begin(), entries.end(), [&](const entry& e) { return e.code == code; });
    return it == entries.end() ? nullptr : &*it;
}

}  // namespace

std::string_view to_string(result_code code) noexcept {
    const auto* e = find(code);
    return e == nullptr ? "undefined" : e->name;
}

int http_status(result_code code) noexcept {
    const auto* e = find(code);
    return e == nullptr ? status_internal_error : e->status;
}

}  // namespace chicorygap::base
