/// @file
/// State of the request router that its requests share.
#pragma once

#include "http/connection_pool.h"
#include "proxy/header_codec.h"
#include "proxy/request_router.h"
#include "retry/budget.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chicorygap::proxy {

class flow;

/// State of the request router that its requests share.
class request_router::core {
public:
    /// Scheduler and retry budget of one service.
    struct service_state {
        std::unique_ptr<scheduling::scheduler> scheduler;
        retry::budget budget;
        bool ticking = false;
    };

    core(net::loop& l, const header_codec& c, router_options o, base::random_function random,
         router_hooks hooks);
    ~core();
    core(const core&) = delete;
    core& operator=(const core&) = delete;

    void set_catalog(std::shared_ptr<const catalog::snapshot> s);
    void set_servers(const std::vector<catalog::backend_server>& servers);
    void set_peer_load(const base::vm_id& peer, const service_loads& loads, base::duration lifetime);
    void set_retry_budget_share(const retry_budget_share& s);
    void handle(http::server_session& session, http::request&& r);
    void caller_disconnected(http::server_session& session);
    void drained(http::server_session& session);
    [[nodiscard]] service_loads local_loads() const;
    [[nodiscard]] std::unordered_map<base::service_id, scheduling::scheduler_status> status() const;

    /// @return the service's state, created on first use.
    service_state& service(const base::service_id& id);

    /// Carries out decisions of a scheduler.
    void carry_out(const base::service_id& id, const std::vector<scheduling::decision>& actions);

    /// The flow has ended.
    void remove(scheduling::local_request_id id, http::server_session* session);

    scheduling::local_request_id next_ticket() { return scheduling::local_request_id{++last_ticket_}; }

    net::loop& loop;
    const header_codec& codec;
    router_options options;
    base::random_function random;
    router_hooks hooks;
    http::connection_pool pool;
    std::shared_ptr<const catalog::snapshot> catalog;
    std::optional<base::time_point> servers_changed;
    std::optional<base::time_point> peers_heard;
    /// The process ends then.
    std::optional<base::time_point> shutdown_deadline;
    std::unordered_map<scheduling::local_request_id, std::shared_ptr<flow>> flows;

private:
    void tick(const base::service_id& id);
    void ensure_ticking(const base::service_id& id);
    [[nodiscard]] retry::budget_options budget_options() const;

    std::unordered_map<base::service_id, service_state> services_;
    std::unordered_map<base::service_id, std::vector<catalog::backend_server>> servers_;
    std::unordered_map<http::server_session*, scheduling::local_request_id> by_session_;
    std::uint64_t last_ticket_ = 0;
};

}  // namespace chicorygap::proxy
