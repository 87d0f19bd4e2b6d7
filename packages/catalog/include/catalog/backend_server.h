/// @file
/// One instance of a backend server.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "net/address.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chicorygap::catalog {

/// One instance of a backend server, as registered in the store.
struct backend_server {
    base::backend_server_id id;
    base::service_id service;
    net::address address;
    base::zone_id zone;
    /// Start time of the server; distinguishes two instances with the same id.
    std::int64_t incarnation = 0;
    /// Requests that the server runs concurrently.
    std::uint32_t slots = 1;
    /// The server finishes its requests and gets no new ones.
    bool draining = false;
    /// The platform may reclaim the server at a few seconds' notice.
    bool reclaimable = false;
    /// Remaining time for which the server is slow after its start.
    base::duration remaining_warmup{};
    /// The zone of the server is evacuated: the server gets no new work. Set by `proxy::request_router`.
    bool evacuated = false;
    /// Time at which the evacuation of its zone was withdrawn; absent if there was none lately. Set by
    /// `proxy::request_router`.
    std::optional<base::time_point> returned_at{};
    /// Revision of the entry in the store. A new one with the same content confirms what the entry says.
    std::uint64_t entry_revision = 0;

    /// @return a text that is unique to this instance and its address.
    [[nodiscard]] std::string instance_key() const {
        return id.str() + '/' + std::to_string(incarnation) + '/' + net::to_string(address);
    }

    bool operator==(const backend_server&) const = default;
};

}  // namespace chicorygap::catalog
