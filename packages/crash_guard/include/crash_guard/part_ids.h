/// @file
/// Parts of one prompt.
#pragma once

#include "crash_guard/crash_report.h"

#include <initializer_list>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chicorygap::crash_guard {

/// Ids of the parts of one prompt, in order.
struct part_ids {
    part_ids() = default;
    part_ids(std::initializer_list<std::uint64_t> shared) : ids{shared} {}

    std::vector<std::uint64_t> ids;
    /// The last part belongs to the request itself or to its session. Other prompts may share the other
    /// parts.
    bool last_is_own = false;

    [[nodiscard]] bool empty() const noexcept { return ids.empty(); }
    [[nodiscard]] bool is_own(std::size_t i) const noexcept { return last_is_own && i + 1 == ids.size(); }
    [[nodiscard]] std::uint32_t depth(std::size_t i) const noexcept {
        return is_own(i) ? own_part_depth : static_cast<std::uint32_t>(i);
    }
    [[nodiscard]] std::size_t shared_count() const noexcept { return ids.size() - (last_is_own ? 1 : 0); }
};

}  // namespace chicorygap::crash_guard
