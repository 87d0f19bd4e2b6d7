/// @file
/// HTTP adapters of the platform interfaces.
#pragma once

#include "ports/billing_service.h"
#include "ports/call_counter.h"
#include "ports/object_store.h"
#include "ports/order_service.h"
#include "ports/vm_list.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace chicorygap::ports {

/// Where the platform listens.
struct http_platform_options {
    std::string host;
    std::uint16_t port = 0;
    std::size_t idle_connections = 4;  ///< kept open for reuse.
};

/// Connection to the platform; implements all its interfaces over pooled HTTP connections. Safe for use by
/// several threads; each call occupies one connection.
///
/// Usage: `http_platform p{{"127.0.0.1", 9100}}; p.objects().get("document/booking", 500ms);`
class http_platform {
public:
    explicit http_platform(http_platform_options o);
    ~http_platform();

    http_platform(const http_platform&) = delete;
    http_platform& operator=(const http_platform&) = delete;

    [[nodiscard]] object_store& objects();
    [[nodiscard]] vm_list& vms();
    [[nodiscard]] order_service& orders();
    [[nodiscard]] billing_service& billing();
    [[nodiscard]] const call_counter& calls() const;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace chicorygap::ports
