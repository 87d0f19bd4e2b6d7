/// @file
/// Failure detection and view of the fleet.
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

/// Settings of the fleet state machine.
struct membership_options {
    /// This daemon, with its start time as incarnation.
    member self{};
    base::duration probe_interval = std::chrono::seconds{1};
    /// Time without an answer after which other members are asked to probe.
    base::duration direct_probe_timeout = std::chrono::milliseconds{300};
    base::duration suspicion_timeout = std::chrono::seconds{3};
    /// Members that are asked to probe.
    std::size_t indirect_probe_count = 3;
    /// Daemons of each other zone that this daemon talks to.
    std::size_t contacts_per_zone = 3;
};

/// Gossip-based failure detection inside the own zone, and bounded knowledge of the other zones.
///
/// One probe a second goes to the next member in a random order. Without an answer other members are asked to
/// probe; without any answer the member is suspected, and declared dead unless it refutes the suspicion with
/// a higher sequence number. Updates, load digests, pressure and versions travel on the probes and their
/// answers. Each message is at most `max_message_bytes`, so the traffic of a daemon does not depend on the
/// size of the fleet.
///
/// Usage:
/// @code
/// membership_protocol protocol{{.self = {.id = vm, .address = "10.0.0.7:7400", .zone = zone, .incarnation =
/// start_us}}, random, now}; protocol.handle(seeds_changed{seeds}, now); for (auto& a :
/// protocol.handle(tick{}, now)) { ... }   // every 100 ms
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

    /// @return this daemon with its present incarnation and sequence number.
    [[nodiscard]] const member& self() const;
    /// @return members of the own zone that are alive or suspected, including this daemon.
    [[nodiscard]] std::vector<member> live_members() const;
    /// @return this daemon's contacts in other zones.
    [[nodiscard]] std::vector<member> contacts() const;
    /// @return other zones that were heard of recently.
    [[nodiscard]] std::vector<base::zone_id> reachable_zones(base::time_point now) const;
    /// @return daemons of all known zones; unreachable zones count with their last known number.
    [[nodiscard]] std::size_t fleet_size() const;
    /// @return lowest tier that any daemon of the zone still admits for the service, as far as heard.
    [[nodiscard]] std::uint8_t lowest_admitted_tier(const base::service_id& service,
                                                    base::time_point now) const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

}  // namespace chicorygap::membership
