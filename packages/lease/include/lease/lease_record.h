/// @file
/// Stored content of a lease.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chicorygap::lease {

/// Content of the object `lease/<role>`.
struct lease_record {
    std::string holder;
    std::uint64_t incarnation = 0;
    std::uint64_t term = 0;  ///< fencing token, increases with every acquisition
    /// Minimum time without a renewal before a takeover. A candidate adds its own margin.
    base::duration lease_duration{};
    bool free = false;  ///< released by the holder; a candidate may acquire the lease at once
    std::string token;  ///< unique per write

    bool operator==(const lease_record&) const = default;
};

/// @return the record as JSON.
std::string encode(const lease_record& r);

/// @return the record, or `std::nullopt` if `text` is not a valid lease record.
std::optional<lease_record> decode_lease(const std::string& text);

}  // namespace chicorygap::lease
