#include "settings/daemon_settings.h"

#include <arpa/inet.h>
#include <charconv>

namespace chicorygap::settings {

namespace {

bool is_ip(int family, const std::string& host) {
    in6_addr buf{};
    return inet_pton(family, host.c_str(), &buf) == 1;
}

}  // namespace

std::string to_string(const address& a) {
    const bool v6 = a.host.find(':') != std::string::npos;
    return (v6 ? "[" + a.host + "]" : a.host) + ":" + std::to_string(a.port);
}

std::optional<address> parse_address(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    address out;
    out.host = text.substr(0, colon);
    const bool v6 = out.host.starts_with('[') && out.host.ends_with(']');
    if (v6) {
        out.host = out.host.substr(1, out.host.size() - 2);
    }
    if (!is_ip(v6 ? AF_INET6 : AF_INET, out.host)) {
        return std::nullopt;
    }
    const auto* const end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data() + colon + 1, end, out.port);
    return ec == std::errc{} && rest == end ? std::optional{out} : std::nullopt;
}

}  // namespace chicorygap::settings
