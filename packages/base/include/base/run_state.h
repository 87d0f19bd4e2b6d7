/// @file
/// What is known about the execution of a request.
#pragma once

#include <string_view>

namespace chicorygap::base {

/// Whether a request was executed. `not_run` is claimed only when it is certain.
enum class run_state { not_run, run, unknown };

/// @return the name used in problem details: "not_run", "run" or "unknown".
std::string_view to_string(run_state s) noexcept;

/// Joins the states of two attempts of one request.
/// @return `unknown` if either is unknown, else `run` if either ran, else `not_run`.
run_state combine(run_state a, run_state b) noexcept;

}  // namespace chicorygap::base
