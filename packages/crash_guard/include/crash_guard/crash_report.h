/// @file
/// What daemons tell each other about prompt parts that may end servers.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <limits>
#include <vector>

namespace chicorygap::crash_guard {

/// How far a request had come when its server ended. The value tells which of two requests with the same
/// evidence is the more likely cause: a server that ends because of a request usually does so when it begins
/// to answer it. It is no measure by itself, because the first bytes of an answer are often lost with the
/// server.
enum class attempt_progress : std::uint8_t {
    none = 0,       ///< past the beginning of its answer; no evidence
    waiting = 1,    ///< no byte of the response had arrived
    answering = 2,  ///< the first events had just arrived
    beginning = 3,  ///< the head had arrived, and no event
};

/// Depth of a part that belongs to one request or its session, which is always the last one.
constexpr std::uint32_t own_part_depth = std::numeric_limits<std::uint32_t>::max();

/// A server ended while a request with the part was at the beginning of its answer there.
struct crash_record {
    std::uint64_t part = 0;
    std::uint64_t server = 0;    ///< hash that identifies the server on all daemons
    std::uint64_t instance = 0;  ///< hash that also tells apart the processes of one server
    std::uint32_t depth = 0;     ///< position of the part in the prompt, or own_part_depth
    attempt_progress progress = attempt_progress::none;
    base::duration length{};  ///< of the attempt that broke off; the shortest of several
    bool confirmed = true;    ///< false if the process of the server may live
    base::duration age{};     ///< time since the server ended

    bool operator==(const crash_record&) const = default;
};

/// A server ended, whatever ran there.
struct server_end_record {
    std::uint64_t instance = 0;
    base::duration age{};

    bool operator==(const server_end_record&) const = default;
};

/// A request with a part that is in doubt was answered.
struct success_record {
    std::uint64_t part = 0;
    base::duration age{};

    bool operator==(const success_record&) const = default;
};

/// Decision on a part. Of two decisions on one part, the one with the higher number counts.
struct verdict_record {
    std::uint64_t part = 0;
    std::uint32_t number = 0;
    bool quarantined = false;
    base::duration age{};     ///< time since the decision
    base::duration period{};  ///< time from the decision until one request may try the part again

    bool operator==(const verdict_record&) const = default;
};

/// Evidence and decisions of one daemon, which it has observed itself or was told. Merging reports in any
/// order and any number of times gives the same result.
struct crash_report {
    std::vector<crash_record> crashes;
    std::vector<success_record> successes;
    std::vector<verdict_record> verdicts;
    std::vector<server_end_record> ends;

    [[nodiscard]] bool empty() const noexcept {
        return crashes.empty() && successes.empty() && verdicts.empty() && ends.empty();
    }
    bool operator==(const crash_report&) const = default;
};

}  // namespace chicorygap::crash_guard
