/// @file
/// Bytes that this daemon has sent to its peers.
#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace chicorygap::daemon_app {

/// What a datagram to a peer is for.
enum class peer_message {
    loads,      ///< regular beacon within the zone, or within a small fleet
    digest,     ///< summary of the zone for other zones
    forwarded,  ///< digest of another zone, passed on within the zone
    news,       ///< changes between two regular beacons
    other,      ///< usage counts, identities and addresses
};

/// Counts the bytes that this daemon has sent to its peers, by purpose.
///
/// Usage: `add` for each datagram, `log_if_due` at short intervals.
class peer_traffic {
public:
    void add(peer_message m, std::size_t bytes) { sent_.at(static_cast<std::size_t>(m)) += bytes; }

    /// Calls `f` with the name of each purpose and the bytes sent for it since the start.
    void for_each(const std::function<void(const char* purpose, std::uint64_t bytes)>& f) const;

    /// Logs the bytes sent since the last line, once per interval.
    void log_if_due(base::time_point now);

private:
    static constexpr std::size_t purpose_count = 5;
    using counters = std::array<std::uint64_t, purpose_count>;

    counters sent_{};
    counters logged_{};
    base::time_point logged_at_;
};

}  // namespace chicorygap::daemon_app
