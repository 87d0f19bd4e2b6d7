/// @file
/// Content of the objects `once/<shard>/<segment>`.
#pragma once

#include "base/time.h"
#include "idempotency/decision.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::idempotency {

/// One line of a segment: a claim that was recorded, or the outcome of an earlier claim.
struct entry {
    digest id;
    std::optional<digest> body;     ///< set for a claim
    std::optional<outcome> result;  ///< set for an outcome
};

/// Time since the last write to a segment, as far as its shard's owners have counted. Never more than the
/// real time.
struct segment_age {
    std::uint64_t sequence = 0;
    base::duration age{};
};

/// Part of a shard's log. Only the segment with the highest sequence can be open; the others are never
/// written again until their records have expired.
struct segment {
    std::uint64_t sequence = 0;
    std::string token;                ///< unique per write
    std::optional<std::size_t> next;  ///< set when the segment is closed: slot of the following segment
    std::vector<segment_age> ages;    ///< of the closed segments
    std::vector<entry> entries;
};

/// @return approximate size of the entry in its encoded form, in bytes.
std::size_t encoded_size(const entry& e);

/// @return the segment as JSON.
std::string encode(const segment& s);

/// @return the segment, or nothing if `text` is not one.
std::optional<segment> decode_segment(const std::string& text);

}  // namespace chicorygap::idempotency
