#include "net/address.h"

#include <arpa/inet.h>
#include <charconv>

namespace chicorygap::net {

namespace {

bool is_ip(int family, const std::string& host) {
    in6_addr buf{};
    return inet_pton(family, host.c_str(), &buf) == 1;
}

}  // namespace

std::string to_string(const address& a) {
    const bool v6 = a.host.find(':') != std::string::npos;
    return (v6 ? '[' + a.host + ']' : a.host) + ':' + std::to_string(a.port);
}

std::optional<address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    address a{std::string{text.substr(0, colon)}, 0};
    const bool v6 = a.host.starts_with('[') && a.host.ends_with(']');
    if (v6) {
        a.host = a.host.substr(1, a.host.size() - 2);
    }
    if (!is_ip(v6 ? AF_INET6 : AF_INET, a.host)) {
        return std::nullopt;
    }
    const auto port = text.substr(colon + 1);
    const auto [end, ec] = std::from_chars(port.data(), port.data() + port.size(), a.port);
    return ec == std::errc{} && end == port.data() + port.size() ? std::optional{a} : std::nullopt;
}

}  // namespace chicorygap::net
