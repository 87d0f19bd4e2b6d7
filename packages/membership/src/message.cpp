#include "membership/message.h"

#include <xxhash.h>

namespace chicorygap::membership {

namespace {

// Sizes of the Cap'n Proto encoding of packages/peer/schema/peer.capnp. A test of that package compares them
// with encoded messages.
constexpr std::size_t word_bytes = 8;
constexpr std::size_t envelope_bytes = 160;  // segment header, call or return, payload and capability table
constexpr std::size_t message_struct_bytes = 10 * word_bytes + 4 * word_bytes;
constexpr std::size_t member_struct_bytes = 5 * word_bytes;
constexpr std::size_t zone_struct_bytes = 2 * word_bytes;
constexpr std::size_t service_struct_bytes = 3 * word_bytes;
constexpr std::size_t bytes_per_load = 10;

std::size_t text_bytes(const std::string& s) {
    return (s.size() + 1 + 7) / 8 * word_bytes;
}

}  // namespace

std::uint64_t server_hash(const base::backend_server_id& id) {
    return XXH64(id.str().data(), id.str().size(), 0);
}

std::size_t encoded_size(const member& m) {
    return member_struct_bytes + text_bytes(m.id.str()) + text_bytes(m.address) + text_bytes(m.zone.str());
}

std::size_t encoded_size(const zone_summary& z) {
    return zone_struct_bytes + text_bytes(z.zone.str());
}

std::size_t encoded_size(const service_digest& s) {
    return service_struct_bytes + text_bytes(s.service.str());
}

std::size_t encoded_size(const message& m) {
    std::size_t n = envelope_bytes + message_struct_bytes + encoded_size(m.sender) + text_bytes(m.target);
    for (const auto& u : m.updates) {
        n += encoded_size(u);
    }
    for (const auto& z : m.zones) {
        n += encoded_size(z);
    }
    for (const auto& s : m.services) {
        n += encoded_size(s);
    }
    const std::size_t padding = m.loads.empty() ? 0 : 8;
    return n + m.loads.size() * bytes_per_load + padding;
}

}  // namespace chicorygap::membership
