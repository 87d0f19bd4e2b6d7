/// @file
/// UDP socket.
#pragma once

#include "net/address.h"

#include <Poco/Net/DatagramSocket.h>

#include <functional>
#include <string_view>

namespace chicorygap::net {

class loop;

/// Sends and receives datagrams on one address as long as it lives.
class datagram_socket {
public:
    using receive_function = std::function<void(std::string_view)>;

    /// @throws base::error with `settings_invalid` if the address cannot be used.
    datagram_socket(loop& l, const address& at, receive_function received);
    ~datagram_socket();
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;

    /// Sends one datagram. One that the kernel does not take is lost, like any other.
    void send(const address& to, std::string_view bytes);

    /// @return the address that is listened on, with its actual port.
    [[nodiscard]] address local() const;

private:
    void receive_waiting();

    loop& loop_;
    Poco::Net::DatagramSocket socket_;
    receive_function received_;
};

}  // namespace chicorygap::net
