/// @file
/// Records of a shard in memory.
#pragma once

#include "idempotency/decision.h"
#include "idempotency/segment.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace chicorygap::idempotency {

/// Records by id, with the segment whose expiry removes them.
///
/// Usage: `apply(entry, sequence)` for each entry of the log in its order; `find(id)`; `expire(sequence)`.
class record_table {
public:
    struct record {
        digest body;
        std::optional<outcome> result;
    };

    /// Adds a claim or sets an outcome. An outcome without a claim, and a second claim of an id, are ignored.
    void apply(const entry& e, std::uint64_t sequence);

    /// @return the record, or null.
    [[nodiscard]] const record* find(const digest& id) const;

    /// Removes the records claimed in a segment.
    void expire(std::uint64_t sequence);

    void clear();

    [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }

private:
    std::unordered_map<digest, record> records_;
    std::unordered_map<std::uint64_t, std::vector<digest>> by_segment_;
};

}  // namespace chicorygap::idempotency
