/// @file
/// Idle connections to servers.
#pragma once

#include "base/time.h"
#include "net/address.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chicorygap::net {
class loop;
}

namespace chicorygap::memory {
class account;
}

namespace chicorygap::http {

class client_connection;

/// Keeps idle connections to servers for later requests.
///
/// A connection is kept under a key that names one incarnation of a server, so that an address that another
/// server took over is never reached by an old connection's key.
///
/// Usage: `auto c = p.take(key, address, longest_idle); c->start(...); ... p.give_back(key, c);`
class connection_pool {
public:
    /// @param account counts the buffers of the connections; null counts nothing.
    explicit connection_pool(net::loop& l, memory::account* account = nullptr)
        : loop_{l}, account_{account} {}

    /// @param key names one incarnation of a server.
    /// @param to address of the server.
    /// @param longest_idle idle connections that are older are not used; zero asks for a new one.
    /// @param request_id request to send. A connection that has carried an earlier attempt of it is not used,
    /// since the server may repeat its response to that attempt.
    /// @return an idle connection, or a new one that is being established.
    std::shared_ptr<client_connection> take(const std::string& key, const net::address& to,
                                            base::duration longest_idle, std::string_view request_id = {});

    /// Keeps the connection if it can be used again.
    void give_back(const std::string& key, std::shared_ptr<client_connection> c);

    /// Closes the idle connections to a server.
    void drop(const std::string& key);

    /// Closes connections that have been idle for too long. Expected about once a second.
    void expire();

    /// @return the connections to a server, idle and in use, that were open at that time or later.
    [[nodiscard]] std::vector<std::shared_ptr<client_connection>> connections_open_since(
        const std::string& key, base::time_point t) const;

    /// Removes the idle connections to a server without closing them.
    /// @return them; they close when the last reference is gone.
    std::vector<std::shared_ptr<client_connection>> withdraw(const std::string& key);

    /// @param f called with the key when the server ends an idle connection.
    void set_idle_ended(std::function<void(const std::string&)> f) { idle_ended_ = std::move(f); }

    /// @return number of connections that were opened.
    [[nodiscard]] std::size_t opened() const noexcept { return opened_; }

private:
    /// @return an idle connection, or null.
    std::shared_ptr<client_connection> take_idle(const std::string& key, base::duration longest_idle,
                                                 std::string_view request_id);
    [[nodiscard]] bool usable(const client_connection& c, base::duration longest_idle) const;

    net::loop& loop_;
    memory::account* account_;
    std::unordered_map<std::string, std::vector<std::shared_ptr<client_connection>>> idle_;
    /// All connections that were taken and may be open, by key; those given back too.
    std::unordered_map<std::string, std::vector<std::weak_ptr<client_connection>>> taken_;
    std::function<void(const std::string&)> idle_ended_;
    std::size_t opened_ = 0;
};

}  // namespace chicorygap::http
