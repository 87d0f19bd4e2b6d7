/// @file
/// One running backend server.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "net/address.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chicorygap::catalog {

/// One incarnation of a backend server, as it registered itself.
struct backend_server {
    base::backend_server_id id;
    base::service_id service;
    net::address address;
    base::zone_id zone;
    /// Differs between two starts of a server under one id.
    std::int64_t incarnation = 0;
    std::uint32_t slots = 1;
    /// Leaving: gets no new request.
    bool draining = false;
    /// May be taken away at a few seconds' notice.
    bool reclaimable = false;
    /// How much longer it is slow after its start.
    base::duration remaining_warmup{};

    /// @return text that names this incarnation at this address.
    [[nodiscard]] std::string instance_key() const {
        return id.str() + '/' + std::to_string(incarnation) + '/' + net::to_string(address);
    }

    bool operator==(const backend_server&) const = default;
};

}  // namespace chicorygap::catalog
