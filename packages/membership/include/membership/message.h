/// @file
/// Messages of the gossip protocol. The peer adapter encodes them.
#pragma once

#include "base/id.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chicorygap::membership {

/// State of a member in the view of one daemon.
enum class member_state : std::uint8_t { alive, suspect, dead, left };

/// Description of one daemon. The address identifies it; a daemon that replaces another one under the
/// same address has a higher incarnation.
struct member {
    base::vm_id id{};
    std::string address{};
    base::zone_id zone{};
    /// Start time in microseconds of wall time.
    std::uint64_t incarnation = 0;
    /// Raised by the member itself to refute a suspicion.
    std::uint32_t sequence = 0;
    member_state state = member_state::alive;

    bool operator==(const member&) const = default;
};

/// Number of live daemons in one zone.
struct zone_summary {
    base::zone_id zone{};
    std::uint32_t member_count = 0;
    /// Time since a daemon of that zone reported the number.
    base::duration age{};
};

/// State of one service on the sending daemon.
struct service_digest {
    base::service_id service{};
    /// Version of the active document.
    std::uint64_t version = 0;
    /// Lowest tier that any daemon of the zone still admits, and the time since it was reported.
    std::uint8_t lowest_admitted_tier = 0;
    base::duration tier_age{};
};

/// Sender's requests in flight on one backend server.
struct server_load {
    /// `server_hash` of the server's id; ids as text would not fit into the message.
    std::uint64_t server = 0;
    std::uint16_t in_flight = 0;

    bool operator==(const server_load&) const = default;
};

/// Purpose of a message.
enum class message_kind : std::uint8_t {
    probe,           ///< expects `ack`
    ack,             ///< confirms a direct or indirect probe; carries the number of the probe
    probe_indirect,  ///< asks the receiver to probe `target`
    leave_notice,    ///< expects no response; announces that the sender leaves
};

/// One message between two daemons.
struct message {
    message_kind kind = message_kind::probe;
    std::uint64_t number = 0;
    member sender{};
    /// Hash of the sender's list of live members; daemons whose lists differ exchange more of them.
    std::uint64_t member_list_hash = 0;
    /// Address to probe, for `probe_indirect`.
    std::string target{};
    std::vector<member> updates{};
    std::vector<zone_summary> zones{};
    std::vector<service_digest> services{};
    std::vector<server_load> loads{};
};

/// Upper limit of the encoded size of a message.
inline constexpr std::size_t max_message_bytes = 1200;
/// Upper limit of the number of servers in a load report.
inline constexpr std::size_t max_reported_loads = 64;

/// @return stable hash of a backend server's id.
std::uint64_t server_hash(const base::backend_server_id& id);

/// @return upper bound of the encoded size in bytes, including the overhead of the RPC call.
std::size_t encoded_size(const message& m);
std::size_t encoded_size(const member& m);
std::size_t encoded_size(const zone_summary& z);
std::size_t encoded_size(const service_digest& s);

}  // namespace chicorygap::membership
