/// @file
/// Address of a TCP or UDP endpoint.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chicorygap::net {

/// IP address and port. Host names are never resolved; an IPv6 address is written in brackets.
struct address {
    std::string host;
    std::uint16_t port = 0;  ///< 0 asks the system for a free port

    bool operator==(const address&) const = default;
    auto operator<=>(const address&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// @return `host:port`.
std::string to_string(const address& a);

/// @return the address, or nothing for text that is not an IP address and a port.
std::optional<address> parse_address(std::string_view text);

}  // namespace chicorygap::net
