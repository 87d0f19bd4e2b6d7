/// @file
/// Usage windows and the requests counted in them.
#pragma once

#include "base/id.h"

#include <cstdint>
#include <map>

namespace chicorygap::metering {

/// Number of a usage window: its start as time since the Unix epoch, divided by its length.
enum class window_number : std::uint64_t {};

/// Number of started requests, by workspace.
using workspace_counts = std::map<base::workspace_id, std::uint64_t>;

}  // namespace chicorygap::metering
