/// @file
/// What is known about a request after its end.
#pragma once

#include "base/id.h"
#include "base/result_code.h"
#include "base/run_state.h"
#include "base/tier.h"
#include "base/time.h"

#include <cstdint>
#include <optional>

namespace chicorygap::gateway {

/// End of one request, for usage, burn rates, metrics and the log. Holds neither key nor prompt text.
struct request_record {
    base::request_id id;
    base::service_id service;
    base::workspace_id workspace;
    base::class_id service_class;
    base::tier tier;
    base::result_code code = base::result_code::ok;
    base::run_state state = base::run_state::not_run;
    /// Last backend server that was tried; empty if none was.
    base::backend_server_id server;
    std::uint32_t attempts = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;
    /// From the request's arrival.
    std::optional<base::duration> first_token;
    /// Longest time between two tokens.
    base::duration longest_gap{};
    /// Mean time between two tokens.
    base::duration mean_gap{};
    base::duration total{};
    /// The targets of the class were met.
    bool on_target = false;
};

}  // namespace chicorygap::gateway
