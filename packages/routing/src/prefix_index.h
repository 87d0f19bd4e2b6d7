/// @file
/// Which servers have which prompt prefixes cached.
#pragma once

#include "base/time.h"
#include "routing/events.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace chicorygap::routing {

/// Position of a server in the server table.
using server_index = std::uint32_t;

/// Index of cached prefixes, learned from the servers' cache events and from own requests.
///
/// Events arrive late and with gaps. After a gap, what was known of that server is still used for a short
/// time, because most of it is still cached, and then dropped unless it is confirmed again.
class prefix_index {
public:
    /// Applies a cache event. A sequence number that was already seen is ignored.
    void apply(server_index s, const cache_event& e, base::time_point now);
    /// Records that a request with this prefix was sent to the server.
    void assume(server_index s, std::uint64_t prefix, base::time_point now);
    /// Drops everything known about a server.
    void forget(server_index s);

    /// @param out receives the servers that have the prefix cached.
    void holders(std::uint64_t prefix, base::time_point now, std::vector<server_index>& out) const;

private:
    struct entry {
        server_index server = 0;
        std::uint32_t generation = 0;
        base::time_point expires;
    };
    struct server_state {
        std::uint64_t sequence = 0;
        std::uint32_t generation = 0;  // increased by each gap and each clearing
        std::uint32_t cleared = 0;     // entries of an older generation than this are invalid
        // Entries of an older generation than the current one are valid only until then.
        base::time_point doubt_ends = base::time_point::min();
    };

    void add(server_index s, std::uint64_t prefix, base::time_point now, base::duration lifetime);
    void remove(server_index s, std::uint64_t prefix);
    void evict();
    [[nodiscard]] bool valid(const entry& e, base::time_point now) const;

    std::unordered_map<std::uint64_t, std::vector<entry>> entries_;
    std::deque<std::uint64_t> order_;  // prefixes, oldest first, for eviction
    std::unordered_map<server_index, server_state> servers_;
};

}  // namespace chicorygap::routing
