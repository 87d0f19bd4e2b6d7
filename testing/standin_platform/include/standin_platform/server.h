/// @file
/// The stand-in platform as an HTTP server.
#pragma once

#include "standin_platform/billing_book.h"
#include "standin_platform/fault_plan.h"
#include "standin_platform/fleet_table.h"
#include "standin_platform/object_table.h"
#include "standin_platform/order_book.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace chicorygap::standin_platform {

struct options {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;     ///< 0 takes a free port.
    base::duration list_lag{};  ///< age of the VM and server lists.
    bool ignore_fencing_tokens = false;
    base::now_function now = base::boot_clock::now;
};

/// Serves objects, lists, orders, usage and faults until destroyed. All members are safe for several threads.
///
/// Usage: `server s{{}}; ports::http_platform p{{"127.0.0.1", s.port()}};`
/// Faults can be added by `faults().add` or by `POST /fault`.
class server {
public:
    explicit server(const options& o);
    ~server();

    server(const server&) = delete;
    server& operator=(const server&) = delete;

    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] object_table& objects();
    [[nodiscard]] fleet_table& fleet();
    [[nodiscard]] order_book& orders();
    [[nodiscard]] billing_book& billing();
    /// A `restart` fault added here takes effect with the next request that it concerns.
    [[nodiscard]] fault_plan& faults();
    /// @return received requests by method and first path segment, for example "PUT /objects".
    [[nodiscard]] std::map<std::string, std::uint64_t> calls() const;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace chicorygap::standin_platform
