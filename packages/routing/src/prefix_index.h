/// @file
/// Index of the prompt prefixes that servers have cached.
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

/// Maps prompt prefixes to servers, based on the cache events of the servers and the requests of this daemon.
///
/// Events arrive late and some are lost. After a gap in the sequence numbers of a server, its entries remain
/// valid for a short time, because most of the prefixes are still cached. Entries that are not confirmed
/// again within that time become invalid.
class prefix_index {
public:
    /// Applies a cache event. An event whose sequence number is not higher than the last one is ignored.
    void apply(server_index s, const cache_event& e, base::time_point now);
    /// Adds a prefix of a request that was sent to the server; no cache event has confirmed it yet.
    void add_unconfirmed(server_index s, std::uint64_t prefix, base::time_point now);
    /// Removes all entries of a server.
    void remove_server(server_index s);

    /// Finds the servers that have a prefix cached.
    /// @param out receives the servers; its previous contents are discarded.
    void find_servers(std::uint64_t prefix, base::time_point now, std::vector<server_index>& out) const;

private:
    struct entry {
        server_index server = 0;
        std::uint32_t generation = 0;
        base::time_point expires_at;
    };
    struct server_state {
        std::uint64_t last_sequence = 0;
        std::uint32_t generation = 0;            // incremented by each gap and each `cleared` event
        std::uint32_t min_valid_generation = 0;  // entries of older generations are invalid
        // Time until which entries of generations before the current one are valid.
        base::time_point stale_until = base::time_point::min();
    };

    void add_entry(server_index s, std::uint64_t prefix, base::time_point now, base::duration lifetime);
    void remove_entry(server_index s, std::uint64_t prefix);
    void evict();
    [[nodiscard]] bool is_valid(const entry& e, base::time_point now) const;

    std::unordered_map<std::uint64_t, std::vector<entry>> entries_;
    std::deque<std::uint64_t> insertion_order_;  // oldest first; determines which prefix is evicted
    std::unordered_map<server_index, server_state> servers_;
};

}  // namespace chicorygap::routing
