/// @file
/// Way of every caller's request to a backend server and back.
#pragma once

#include "base/id.h"
#include "base/random.h"
#include "base/time.h"
#include "catalog/backend_server.h"
#include "catalog/snapshot.h"
#include "http/server_session.h"
#include "proxy/request_record.h"
#include "scheduling/load.h"
#include "scheduling/scheduler.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace chicorygap::net {
class loop;
}

namespace chicorygap::proxy {

class header_codec;

/// Part of the fleet's retry budget that this daemon may spend.
struct retry_budget_share {
    /// Repeated sends per request of a caller.
    double ratio = 0.1;
    /// Further repeated sends in a window, for this daemon alone.
    int extra_retries = 0;
    base::duration window = std::chrono::seconds{10};
};

struct router_options {
    base::vm_id self;
    base::zone_id zone;
    retry_budget_share retries;
    /// Requests that may be open at once; further ones are refused. Absent: no limit.
    std::optional<std::size_t> max_open_requests;
};

struct router_hooks {
    /// A server began to run a request of the workspace.
    std::function<void(const base::workspace_id&)> run_started;
    /// A request has ended.
    std::function<void(const request_record&)> request_ended;
};

/// Load per service, for peers.
using service_loads = std::unordered_map<base::service_id, scheduling::load_report>;

/// Takes requests of callers, has them scheduled, sends them to backend servers and passes the answers back.
///
/// Usage: `request_router r{loop, codec, options, random, hooks};` give it a catalog and servers, then
/// `r.handle(session, request)` for each request; the session is answered exactly once, or closed where an
/// answer that has begun cannot be finished.
class request_router {
public:
    request_router(net::loop& l, const header_codec& codec, router_options o, base::random_function random,
                   router_hooks hooks);
    ~request_router();
    request_router(const request_router&) = delete;
    request_router& operator=(const request_router&) = delete;

    /// Puts a version of the configuration in force.
    void set_catalog(std::shared_ptr<const catalog::snapshot> s);

    /// @param servers all known servers of all services.
    void set_servers(const std::vector<catalog::backend_server>& servers);

    /// @param peer the daemon that reported.
    /// @param loads its load per service.
    /// @param lifetime time after which the report is forgotten.
    void set_peer_load(const base::vm_id& peer, const service_loads& loads, base::duration lifetime);

    /// Changes this daemon's part of the retry budget.
    void set_retry_budget_share(const retry_budget_share& share);

    /// The process ends at `at`: requests that may not have ended by then are refused from now on.
    void set_shutdown_deadline(base::time_point deadline);

    /// Takes a request. A session without a catalog gets 503.
    void handle(http::server_session& session, http::request&& r);

    /// The caller left; its work is cancelled unless it must not be broken off.
    void caller_disconnected(http::server_session& session);

    /// The caller took the buffered output.
    void drained(http::server_session& session);

    [[nodiscard]] service_loads local_loads() const;
    [[nodiscard]] std::unordered_map<base::service_id, scheduling::scheduler_status> status() const;
    /// @return requests that have not ended.
    [[nodiscard]] std::size_t open_requests() const;
    /// @return connections opened to servers.
    [[nodiscard]] std::size_t connections_opened() const;

    /// State behind the router, shared with the requests in flight.
    class core;

private:
    std::unique_ptr<core> core_;
};

}  // namespace chicorygap::proxy
