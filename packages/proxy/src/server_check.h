/// @file
/// Tells whether the process of a server has ended.
#pragma once

#include "base/time.h"
#include "check_finding.h"
#include "net/address.h"
#include "net/loop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chicorygap::http {
class client_connection;
}
namespace chicorygap::net {
class stream;
}

namespace chicorygap::proxy {

/// Tells whether the process of a server has ended, after a connection to it broke.
///
/// Concept: the host of an ended process refuses connections. A reset connection and a spoiled response leave
/// a process that accepts them, and leave the other connections open, while all connections of a process that
/// ended are closed although a new one may accept others. Requests that break off on one server at the same
/// time share one check.
class server_check {
public:
    explicit server_check(net::loop& l) : loop_{l} {}
    ~server_check();
    server_check(const server_check&) = delete;
    server_check& operator=(const server_check&) = delete;

    /// @param instance identifies the process of the server.
    /// @param witnesses other connections to it that were open when the connection broke.
    /// @param done called once; not called from within this call.
    void start(const std::string& instance, const net::address& address,
               const std::vector<std::shared_ptr<http::client_connection>>& witnesses,
               std::function<void(const check_finding&)> done);

private:
    struct pending {
        net::address address;
        std::shared_ptr<net::stream> connection;
        int connects = 0;
        std::vector<std::shared_ptr<http::client_connection>> witnesses;
        std::vector<std::function<void(const check_finding&)>> callbacks;
    };

    void connect(const std::string& instance);
    void finish(const std::string& instance, connect_result r);

    net::loop& loop_;
    std::map<std::string, pending> pending_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace chicorygap::proxy
