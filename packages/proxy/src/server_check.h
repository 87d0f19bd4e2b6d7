/// @file
/// Tells whether the process of a server has ended.
#pragma once

#include "base/time.h"
#include "net/address.h"
#include "net/loop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chicorygap::net {
class stream;
}

namespace chicorygap::proxy {

/// Tells whether the process of a server has ended, after a connection to it broke.
///
/// Concept: the host of an ended process refuses connections. A reset connection, a cut link and a spoiled
/// response leave a process that accepts them or a path that stays silent. Requests that break off on one
/// server at the same time share one check.
class server_check {
public:
    explicit server_check(net::loop& l) : loop_{l} {}
    ~server_check();
    server_check(const server_check&) = delete;
    server_check& operator=(const server_check&) = delete;

    /// @param instance identifies the process of the server.
    /// @param done called once with true if the process has ended; not called from within this call.
    void start(const std::string& instance, const net::address& address, std::function<void(bool)> done);

private:
    struct pending {
        net::address address;
        std::shared_ptr<net::stream> connection;
        int connects = 0;
        std::vector<std::function<void(bool)>> callbacks;
    };

    void connect(const std::string& instance);
    void finish(const std::string& instance, bool ended);

    net::loop& loop_;
    std::map<std::string, pending> pending_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace chicorygap::proxy
