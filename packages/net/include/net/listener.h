/// @file
/// Accepts TCP connections.
#pragma once

#include "net/address.h"

#include <Poco/Net/ServerSocket.h>

#include <functional>

namespace Poco::Net {  // NOLINT(readability-identifier-naming)
class StreamSocket;
}

namespace chicorygap::net {

class loop;

/// Accepts connections on one address as long as it lives.
///
/// Usage: `listener l{loop, address, [](const Poco::Net::StreamSocket& s) { ... }};`
class listener {
public:
    using accept_function = std::function<void(Poco::Net::StreamSocket)>;

    /// @throws base::error with `settings_invalid` if the address cannot be used.
    listener(loop& l, const address& at, accept_function accepted);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    /// @return the address that is listened on, with its actual port.
    [[nodiscard]] address local() const;

private:
    void accept_waiting();

    loop& loop_;
    Poco::Net::ServerSocket socket_;
    accept_function accepted_;
};

}  // namespace chicorygap::net
