/// @file
/// Tells whether the process of a server has ended.
#pragma once

#include "base/time.h"
#include "net/address.h"
#include "net/loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace chicorygap::net {
class stream;
}

namespace chicorygap::proxy {

/// What a connect to a server has shown.
enum class check_result : std::uint8_t {
    refused,   ///< no process listens
    accepted,  ///< a process accepts connections and keeps them
    silent,    ///< no answer in time
};

/// @return name for log lines.
[[nodiscard]] std::string_view to_string(check_result r) noexcept;

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
    /// @param done called once; not called from within this call.
    void start(const std::string& instance, const net::address& address,
               std::function<void(check_result)> done);

private:
    struct pending {
        net::address address;
        std::shared_ptr<net::stream> connection;
        int connects = 0;
        std::vector<std::function<void(check_result)>> callbacks;
    };

    void connect(const std::string& instance);
    void finish(const std::string& instance, check_result r);

    net::loop& loop_;
    std::map<std::string, pending> pending_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace chicorygap::proxy
