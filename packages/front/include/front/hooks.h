/// @file
/// Functions through which the server reaches the rest of the daemon.
#pragma once

#include "base/id.h"
#include "front/call.h"
#include "front/caller_monitor.h"
#include "front/refusal.h"
#include "front/responder.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chicorygap::front {

/// What `hooks::authorize` decides on.
struct access_query {
    base::key_digest key;
    std::string method;
    std::string path;
    /// Empty unless the request is a chat completion.
    std::string model;
};

using access_decision = std::variant<grant, refusal>;

/// Called on connection threads, several at a time. `authorize`, `execute` and `next_id` must be set.
struct hooks {
    /// Checks a key before the body is read; also on each request of an open connection. Unset: not checked
    /// here.
    std::function<std::optional<refusal>(const base::key_digest&)> check_key;
    std::function<access_decision(const access_query&)> authorize;
    /// Blocks until the request has been answered. An exception is answered as an internal error.
    std::function<void(const call&, responder&, const caller_monitor&)> execute;
    /// Returns a request id that is unique over all daemons.
    std::function<base::request_id()> next_id;
    /// Models that the key may use.
    std::function<std::vector<std::string>(const base::key_digest&)> models;
    /// Called for every request refused before `execute`, for counters.
    std::function<void(base::result_code)> refused;
};

/// Content of the operator port. Unset members answer 404, except `ready`, which answers 503.
struct operator_hooks {
    std::function<bool()> ready;
    /// Prometheus text format.
    std::function<std::string()> metrics_text;
    std::function<std::string()> status_json;
    /// Burn-rate report as JSON and as a self-contained page.
    std::function<std::string()> burn_json;
    std::function<std::string()> burn_html;
};

}  // namespace chicorygap::front
