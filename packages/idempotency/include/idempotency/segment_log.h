/// @file
/// Segments of a shard: which one is open and which have expired.
#pragma once

#include "base/store_message.h"
#include "base/time.h"
#include "idempotency/segment.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chicorygap::idempotency {

/// Log of a shard as a chain of segments in slots `once/<shard>/<slot>`.
///
/// Concept: each closed segment names the slot of the following one, so that every owner continues in the
/// same slot at the same version. Two owners therefore always compete for one conditional update.
///
/// Usage: `load(objects)`, then `prepare(entries)` for a write and `commit(version)` when it is applied.
class segment_log {
public:
    /// Object to write and the version it replaces.
    struct write {
        std::string key;
        std::string value;
        std::uint64_t expected = 0;
    };

    /// @param prefix `once/<shard>/`.
    /// @param slots number of slots.
    /// @param segment_bytes size above which a segment is closed.
    segment_log(std::string prefix, std::size_t slots, std::size_t segment_bytes);

    /// Replaces the state by the stored objects.
    /// @return the segments with their entries, oldest first.
    /// @throws base::error with `record_unavailable` if an object is not a segment.
    std::vector<segment> load(const std::vector<base::stored_object>& objects, base::time_point now);

    /// @return the write that appends `entries` to the open segment.
    write prepare(const std::vector<entry>& entries, const std::string& token, base::time_point now);

    /// Takes over the last prepared write, which was applied.
    void commit(std::uint64_t version, base::time_point now);

    /// @return sequences of the segments that were last written `retention` ago; each is returned once.
    std::vector<std::uint64_t> expire(base::duration retention, base::time_point now);

    /// @return true if the open segment can take more entries.
    [[nodiscard]] bool has_room() const;

    /// @return sequence of the open segment.
    [[nodiscard]] std::uint64_t open_sequence() const noexcept { return open_.sequence; }

private:
    struct closed_segment {
        std::uint64_t sequence = 0;
        std::size_t slot = 0;
        base::time_point last_written;
        bool expired = false;
    };

    std::vector<segment> arrange(std::vector<std::pair<segment, std::size_t>> found, base::time_point now);
    static base::duration age_of(const segment& newest, std::uint64_t sequence);
    void close(std::uint64_t sequence, std::size_t slot, base::time_point last_written);
    void open_following(const segment& last);
    [[nodiscard]] std::optional<std::size_t> free_slot() const;
    [[nodiscard]] std::vector<segment_age> ages(base::time_point now) const;
    [[nodiscard]] std::string key(std::size_t slot) const { return prefix_ + std::to_string(slot); }

    std::string prefix_;
    std::size_t slots_;
    std::size_t segment_bytes_;
    std::vector<std::uint64_t> versions_;  ///< of each slot, 0 if it does not exist
    std::vector<closed_segment> closed_;
    segment open_;
    std::size_t open_slot_ = 0;
    std::size_t open_bytes_ = 0;
    segment prepared_;
    std::size_t prepared_bytes_ = 0;
};

}  // namespace chicorygap::idempotency
