/// @file
/// Whole requests to services that are called rather than proxied.
#pragma once

#include "base/time.h"
#include "http/client_connection.h"
#include "http/connection_pool.h"
#include "http/message.h"
#include "net/address.h"
#include "net/loop.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>

namespace chicorygap::http {

struct call {
    net::address to;
    request_head head;
    std::string body;
    /// Longest time until the whole response is here.
    base::duration timeout = std::chrono::seconds{1};
};

struct response {
    response_head head;
    std::string body;
};

/// A call that has no response.
struct call_failure {
    exchange_failure reason = exchange_failure::closed;
    /// The request may have been carried out, or may be later.
    bool maybe_done = false;
};

using call_result = std::variant<response, call_failure>;

/// Makes whole calls with a time limit, on connections that it keeps.
///
/// Usage: `c.send({address, head, body, 500ms}, [](call_result r) { ... });` The callback is not called after
/// the client is destroyed.
class async_client {
public:
    using done_function = std::function<void(call_result)>;

    explicit async_client(net::loop& l);
    ~async_client();
    async_client(const async_client&) = delete;
    async_client& operator=(const async_client&) = delete;

    void send(call c, done_function done);

private:
    struct pending {
        std::shared_ptr<client_connection> connection;
        net::timer_id timer = net::timer_id::none;
        std::string key;
        response answer;
        done_function done;
    };

    void finish(std::uint64_t number, call_result r);

    net::loop& loop_;
    connection_pool pool_;
    net::timer_id expiry_timer_ = net::timer_id::none;
    std::unordered_map<std::uint64_t, std::shared_ptr<pending>> pending_;
    std::uint64_t last_number_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace chicorygap::http
