/// @file
/// Requests of one usage window.
#pragma once

#include "base/id.h"

#include <cstdint>
#include <map>

namespace chicorygap::metering {

/// Number of a usage window: the window's start divided by its length, both since 1970.
enum class window_number : std::uint64_t {};

/// Requests that began to run, by workspace.
using workspace_counts = std::map<base::workspace_id, std::uint64_t>;

}  // namespace chicorygap::metering
