/// @file
/// Routes requests of callers to backend servers and returns the responses.
#pragma once

#include "backpressure/signal_table.h"
#include "base/id.h"
#include "base/random.h"
#include "base/time.h"
#include "catalog/backend_server.h"
#include "catalog/evacuation_state.h"
#include "catalog/snapshot.h"
#include "crash_guard/prompt_guard.h"
#include "http/server_session.h"
#include "proxy/event_check.h"
#include "proxy/request_record.h"
#include "scheduling/load.h"
#include "scheduling/scheduler.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chicorygap::net {
class loop;
}

namespace chicorygap::memory {
class account;
}

namespace chicorygap::proxy {

class header_codec;

/// Share of the fleet's retry budget that this daemon may spend.
struct retry_budget_share {
    /// Retries per request of a caller.
    double ratio = 0.1;
    /// Retries that this daemon may spend per window in addition to the ratio.
    int extra_retries = 0;
    /// Length of the sliding window that the budget covers.
    base::duration window = std::chrono::seconds{10};
};

/// Times of a planned stop.
struct shutdown_times {
    /// Until then requests are taken that may last beyond the deadline, except for non-idempotent ones.
    base::time_point accept_all_until;
    /// Requests are ended then.
    base::time_point deadline;
};

struct router_options {
    base::vm_id self;
    base::zone_id zone;
    retry_budget_share retries;
    /// Bound of the requests to cold servers; no limit if absent.
    std::optional<backpressure::warmup_bounds> cold_servers;
    /// Limit on concurrent requests, above which new ones are rejected; no limit if absent.
    std::optional<std::size_t> max_open_requests;
    /// Counts the buffers of requests and connections to servers, and outlives the router; null counts
    /// nothing and sets no limit.
    memory::account* account = nullptr;
    /// Milliseconds of a caller's wait that one megabyte between zones is worth; absent for no price.
    std::optional<double> zone_byte_price_ms_per_mb = std::nullopt;
    /// `scheduling::scheduler_options::shared_machines` of all services.
    bool shared_machines = false;
};

struct router_hooks {
    /// Called at most once per request, when a server has started to run it, with its workspace; not called
    /// for anonymous routes.
    std::function<void(const base::workspace_id&)> run_started;
    /// Called once at the end of each request.
    std::function<void(const request_record&)> request_ended;
    /// Called when the limit of a server, its wait or its leaving has changed, with the source of the news.
    std::function<void(const backpressure::server_status&, std::string_view source)> signals_changed;
    /// Called when peers should be told a signal soon, with false if a peer told it.
    std::function<void(bool own)> signal_news;
    /// Called when a server was found to be cold.
    std::function<void(const backpressure::server_status&)> server_cold;
    /// Tells which blocks of a server's stream are events. Required.
    event_check check_event;
};

/// Load report of each service, as exchanged with peers.
using service_loads = std::unordered_map<base::service_id, scheduling::load_report>;

/// Schedules requests of callers, sends them to backend servers and forwards the responses.
///
/// Usage: construct `request_router r{loop, codec, options, random, hooks};`, set the catalog and the
/// servers, and call `r.handle(session, request)` for each request. The session receives exactly one
/// response, or is closed if a response that was partly sent cannot be completed.
class request_router {
public:
    /// @throws base::error with `internal` if the hooks lack the check of events.
    request_router(net::loop& l, const header_codec& codec, router_options o, base::random_function random,
                   router_hooks hooks);
    ~request_router();
    request_router(const request_router&) = delete;
    request_router& operator=(const request_router&) = delete;

    /// Replaces the active configuration.
    void set_catalog(std::shared_ptr<const catalog::snapshot> catalog);

    /// Replaces the server list.
    /// @param servers all known servers of all services.
    void set_servers(const std::vector<catalog::backend_server>& servers);

    /// Replaces the evacuations. Waiting requests are tried again at once.
    /// @param state zones whose servers get no new work, and zones that get it again.
    void set_evacuations(catalog::evacuation_state state);

    /// Replaces the load report of a peer.
    /// @param peer daemon that sent the report.
    /// @param loads its load per service.
    /// @param lifetime time after which the report expires.
    /// @param zone zone of the daemon, or the zone that the report sums up; empty if unknown.
    void set_peer_load(const base::vm_id& peer, const service_loads& loads, base::duration lifetime,
                       const base::zone_id& zone = {});

    /// Changes this daemon's share of the retry budget.
    void set_retry_budget_share(const retry_budget_share& share);

    /// Begins a planned stop: requests that may last beyond its end are rejected as it says.
    void set_shutdown(const shutdown_times& times);

    /// Ends all open requests, each with a response if it has not begun: 503 if no server can have run it,
    /// otherwise 502.
    void end_requests();

    /// Starts a request. Responds with 503 as long as no catalog is set.
    void handle(http::server_session& session, http::request&& r);

    /// Answers a request whose body there is no memory for: 503 with Retry-After, not run.
    void refuse_body(http::server_session& session, const http::request_head& head);

    /// Answers a request whose head there is no memory for: 503 with Retry-After, not run.
    /// @param head null if the head is not complete.
    void refuse_head(http::server_session& session, const http::request_head* head);

    /// Ends attempts and then requests that hold the most memory if the account's limit is exceeded. Expected
    /// when the account enters that level; may be called inside a change of a charge.
    void check_memory();

    /// Cancels the session's request after its caller disconnected. A non-idempotent request that a server
    /// has received whole runs to its end.
    void caller_disconnected(http::server_session& session);

    /// Resumes reading from the server after the session's buffered output has been written to the caller.
    void drained(http::server_session& session);

    /// @return the guard that keeps prompts which end servers away from them.
    [[nodiscard]] crash_guard::prompt_guard& prompt_guard();

    /// @return what the servers say of themselves.
    [[nodiscard]] backpressure::signal_table& server_signals();
    [[nodiscard]] const backpressure::signal_table& server_signals() const;

    /// @return the server list; servers that have announced in a response that they stop are draining, and
    /// those of evacuated zones are marked.
    [[nodiscard]] std::vector<catalog::backend_server> servers() const;

    /// @return load of this daemon per service.
    [[nodiscard]] service_loads local_loads() const;
    /// @return status of each service's scheduler.
    [[nodiscard]] std::unordered_map<base::service_id, scheduling::scheduler_status> status() const;
    /// @return responses with a report of the server's load that was not usable; counted only with shared
    /// machines.
    [[nodiscard]] std::uint64_t invalid_server_reports() const;
    /// @return requests that have not ended.
    [[nodiscard]] std::size_t open_requests() const;
    /// @return total number of connections that were opened to servers.
    [[nodiscard]] std::size_t connections_opened() const;

    /// Implementation, also used by the requests in flight.
    class impl;

private:
    std::unique_ptr<impl> impl_;
};

}  // namespace chicorygap::proxy
