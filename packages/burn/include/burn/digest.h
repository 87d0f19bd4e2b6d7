/// @file
/// Counters of one daemon in the form shared with others.
#pragma once

#include "burn/objective.h"
#include "burn/windows.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace chicorygap::burn {

/// Number of misses with one cause.
struct cause {
    std::string name;
    std::uint32_t misses = 0;

    bool operator==(const cause&) const = default;
};

/// Causes of the misses of the last hour, most frequent first.
struct causes {
    std::vector<cause> by_code;
    std::vector<cause> by_zone;
    std::vector<cause> by_server;
};

/// Counters of one workspace in one class.
struct workspace_digest {
    base::workspace_id workspace;
    std::array<counts, window_count> windows;
};

/// Counters of one class.
struct class_digest {
    base::service_id service;
    base::class_id service_class;
    /// Buckets of each window, oldest first.
    std::array<std::array<counts, class_buckets>, window_count> history;
    std::vector<workspace_digest> workspaces;
    causes reasons;
};

/// Everything that one daemon counted.
struct digest {
    base::vm_id daemon;
    std::vector<class_digest> classes;
};

}  // namespace chicorygap::burn
