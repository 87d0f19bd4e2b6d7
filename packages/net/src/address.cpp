#include "net/address.h"

#include <Poco/Net/IPAddress.h>

#include <charconv>

namespace chicorygap::net {

std::string to_string(const address& a) {
    return a.host + ':' + std::to_string(a.port);
}

std::optional<address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    address a{std::string{text.substr(0, colon)}, 0};
    const auto port = text.substr(colon + 1);
    const auto [end, ec] = std::from_chars(port.data(), port.data() + port.size(), a.port);
    Poco::Net::IPAddress ip;
    const bool valid = ec == std::errc{} && end == port.data() + port.size() && a.port != 0 &&
                       Poco::Net::IPAddress::tryParse(a.host, ip);
    return valid ? std::optional{a} : std::nullopt;
}

}  // namespace chicorygap::net
