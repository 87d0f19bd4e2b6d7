/// @file
/// Orders of backend servers from the platform.
#pragma once

#include "base/id.h"
#include "base/time.h"

#include <cstdint>
#include <functional>
#include <string>

namespace chicorygap::ports {

enum class order_action { request, release };

/// Order for backend servers of one zone. A repeated id has no second effect.
struct order {
    std::string id;
    base::zone_id zone;
    base::service_id service;
    order_action action = order_action::request;
    std::string server_kind;         ///< for requests.
    std::uint32_t count = 1;         ///< for requests.
    base::backend_server_id server;  ///< for releases.
    std::uint64_t fencing_token = 0;

    bool operator==(const order&) const = default;
};

/// Reply to an order.
struct order_reply {
    bool accepted = false;           ///< false when the fencing token is older than one already seen.
    bool repeated = false;           ///< the id was accepted before.
    std::uint64_t newest_token = 0;  ///< newest fencing token seen for the zone.
};

/// Called after connecting and immediately before the first byte of an order or report is written; false
/// stops it. The role holder checks its lease here, so that no order leaves after the lease has lapsed.
using send_guard = std::function<bool()>;

/// Order interface. Calls throw `base::error` with `platform_unavailable` or `platform_reply_lost`.
class order_service {
public:
    virtual ~order_service() = default;
    virtual order_reply submit(const order& o, base::duration timeout) = 0;
    /// As `submit`, but only if `may_send` allows it.
    /// @throws base::error with `lease_not_held`, without effect, when it does not.
    virtual order_reply submit_guarded(const order& o, const send_guard& may_send, base::duration timeout);
};

}  // namespace chicorygap::ports
