/// @file
/// Gossip-based membership and failure detection between daemons.
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "membership/events.h"
#include "membership/message.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace chicorygap::membership {

/// Settings of the membership protocol.
struct membership_options {
    /// This daemon; the incarnation is its start time in microseconds.
    member self{};
    base::duration probe_interval = std::chrono::seconds{1};
    /// Time without an ack after which other members are asked for indirect probes.
    base::duration direct_probe_timeout = std::chrono::milliseconds{300};
    base::duration suspicion_timeout = std::chrono::seconds{3};
    /// Number of members that are asked for an indirect probe.
    std::size_t indirect_probe_count = 3;
    /// Number of daemons in each remote zone that this daemon probes.
    std::size_t contacts_per_zone = 3;
};

/// Gossip-based failure detection within the local zone, and a bounded view of the remote zones.
///
/// Each probe interval, one probe goes to the next member in random order. Without an ack other members are
/// asked to probe; without any ack the member is suspected, and declared dead unless it refutes the suspicion
/// with a higher sequence number. Member updates, load reports, admitted tiers and versions are piggybacked
/// on probes and acks. Each message is at most `max_message_bytes`, so the traffic of a daemon does not
/// depend on the size of the fleet.
///
/// Usage:
/// @code
/// const member self{.id = vm, .address = "10.0.0.7:7400", .zone = zone, .incarnation = start_us};
/// membership_protocol protocol{{.self = self}, random, now};
/// protocol.handle(seeds_changed{seeds}, now);
/// for (auto& a : protocol.handle(tick{}, now)) { ... }   // every 100 ms
/// @endcode
/// Not thread-safe.
class membership_protocol {
public:
    /// @param o settings.
    /// @param random source of the probe order and of jitter.
    /// @param now time of the start.
    membership_protocol(membership_options o, base::random_function random, base::time_point now);
    ~membership_protocol();

    membership_protocol(membership_protocol&&) noexcept;
    membership_protocol& operator=(membership_protocol&&) noexcept;
    membership_protocol(const membership_protocol&) = delete;
    membership_protocol& operator=(const membership_protocol&) = delete;

    /// Applies one event.
    /// @return what the adapter must do, in order.
    std::vector<action> handle(const event& e, base::time_point now);

    /// @return this daemon with its current incarnation and sequence number.
    [[nodiscard]] const member& self() const;
    /// @return members of the local zone that are alive or suspected, including this daemon.
    [[nodiscard]] std::vector<member> live_members() const;
    /// @return daemons in remote zones that this daemon probes.
    [[nodiscard]] std::vector<member> contacts() const;
    /// @return remote zones whose summary is recent enough.
    [[nodiscard]] std::vector<base::zone_id> reachable_zones(base::time_point now) const;
    /// @return number of daemons in all known zones; an unreachable zone counts with its last known number.
    [[nodiscard]] std::size_t fleet_size() const;
    /// @return lowest tier that any daemon of the zone still admits for the service, according to the reports
    /// received.
    [[nodiscard]] std::uint8_t lowest_admitted_tier(const base::service_id& service,
                                                    base::time_point now) const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

}  // namespace chicorygap::membership
