#include "membership/message.h"

#include <xxhash.h>

namespace chicorygap::membership {

namespace {

// Sizes of the Cap'n Proto encoding of packages/peer/schema/peer.capnp. A test of that package compares them
// with real messages.
constexpr std::size_t word = 8;
constexpr std::size_t envelope_bytes = 160;  // segment header, call or return, payload and capability table
constexpr std::size_t message_bytes = 10 * word + 4 * word;
constexpr std::size_t member_bytes = 5 * word;
constexpr std::size_t zone_bytes = 2 * word;
constexpr std::size_t service_bytes = 3 * word;
constexpr std::size_t load_bytes = 10;

std::size_t text_size(const std::string& s) {
    return (s.size() + 1 + 7) / 8 * word;
}

}  // namespace

std::uint64_t server_hash(const base::backend_server_id& id) {
    return XXH64(id.str().data(), id.str().size(), 0);
}

std::size_t encoded_size(const member& m) {
    return member_bytes + text_size(m.id.str()) + text_size(m.address) + text_size(m.zone.str());
}

std::size_t encoded_size(const zone_summary& z) {
    return zone_bytes + text_size(z.zone.str());
}

std::size_t encoded_size(const service_digest& s) {
    return service_bytes + text_size(s.service.str());
}

std::size_t encoded_size(const message& m) {
    std::size_t n = envelope_bytes + message_bytes + encoded_size(m.sender) + text_size(m.target);
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
    return n + m.loads.size() * load_bytes + padding;
}

}  // namespace chicorygap::membership
