/// @file
/// Content of a lease object.
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
    std::uint64_t term = 0;  ///< fencing token, grows with every change of holder
    base::duration
        lease_duration{};  ///< how long a candidate has to leave the record alone, without its own margin
    bool free = false;     ///< handed over: a candidate may acquire it at once
    std::string token;     ///< unique per write

    bool operator==(const lease_record&) const = default;
};

/// @return the record as JSON.
std::string encode(const lease_record& r);

/// @return the record, or nothing if `text` is not one.
std::optional<lease_record> decode_lease(const std::string& text);

}  // namespace chicorygap::lease
