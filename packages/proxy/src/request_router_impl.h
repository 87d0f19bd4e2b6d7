/// @file
/// Implementation of the request router.
#pragma once

#include "backpressure/signal_table.h"
#include "end_watch.h"
#include "http/connection_pool.h"
#include "invalid_report_log.h"
#include "memory/pressure.h"
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

class proxied_request;

/// Implementation of the request router, with the state that its requests share.
class request_router::impl {
public:
    /// Scheduler and retry budget of one service.
    struct service_state {
        std::unique_ptr<scheduling::scheduler> scheduler;
        retry::budget budget;
        bool tick_scheduled = false;
    };

    impl(net::loop& l, const header_codec& c, router_options o, base::random_function random,
         router_hooks hooks);
    ~impl();
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void set_catalog(std::shared_ptr<const catalog::snapshot> s);
    void set_servers(const std::vector<catalog::backend_server>& servers);
    void set_evacuations(catalog::evacuation_state state);
    void set_peer_load(const base::vm_id& peer, const service_loads& loads, base::duration lifetime,
                       const base::zone_id& zone);
    void set_retry_budget_share(const retry_budget_share& s);
    void handle(http::server_session& session, http::request&& r);
    void refuse_body(http::server_session& session, const http::request_head& head);
    void refuse_head(http::server_session& session, const http::request_head* head);
    void caller_disconnected(http::server_session& session);
    void drained(http::server_session& session);
    void end_requests();
    /// Passes on what a server said of itself.
    /// @param server server that the request was sent to.
    /// @param wrong_server another server at this address has answered.
    /// @param sent_at time at which the request was sent.
    void observe_signals(const catalog::backend_server& server, bool wrong_server,
                         const backpressure::server_signals& s, base::time_point sent_at);
    /// @param server server that the request was sent to.
    /// @return true if the response has a report of that server's load which the scheduler may use. Counts
    /// reports that are not usable.
    bool usable_report(const catalog::backend_server& server, const response_metadata& m);
    [[nodiscard]] std::vector<catalog::backend_server> servers() const;
    [[nodiscard]] service_loads local_loads() const;
    [[nodiscard]] std::unordered_map<base::service_id, scheduling::scheduler_status> status() const;

    /// @return state of the service, which is created on first use.
    service_state& service(const base::service_id& id);

    /// Starts or rejects requests as the scheduler of a service decided.
    void apply_decisions(const base::service_id& id, const std::vector<scheduling::decision>& decisions);

    /// Removes a request that has ended. An entry of its session that belongs to another request stays.
    /// @param session session of the request; null if the caller disconnected.
    void remove(scheduling::local_request_id id, http::server_session* session);

    /// @return how close the buffers are to the memory limit.
    [[nodiscard]] memory::pressure memory_pressure() const noexcept;
    /// Ends attempts in the next round of the loop if the memory limit is exceeded. To be called after a
    /// buffer has grown.
    void check_memory();

    scheduling::local_request_id next_request_id() {
        return scheduling::local_request_id{++last_request_id_};
    }

    net::loop& loop;
    const header_codec& codec;
    router_options options;
    base::random_function random;
    router_hooks hooks;
    http::connection_pool pool;
    crash_guard::prompt_guard guard;
    backpressure::signal_table signals;
    end_watch ends;
    invalid_report_log reports;
    std::shared_ptr<const catalog::snapshot> catalog;
    std::optional<base::time_point> server_list_updated_at;
    std::optional<base::time_point> peer_load_received_at;
    std::optional<shutdown_times> shutdown;
    std::unordered_map<scheduling::local_request_id, std::shared_ptr<proxied_request>> active_requests;

private:
    /// Marks servers that have announced that they stop and those of evacuated and returned zones, and passes
    /// the list to the schedulers.
    void apply_servers();
    /// Sets what the evacuations say of the server's zone.
    void mark_evacuation(catalog::backend_server& s) const;
    void on_server_leaving();
    /// Ends those that hold the most until the memory limit is kept: first attempts by the bytes that no
    /// caller has been sent, then requests whose callers do not take their output.
    void shed_memory();
    void tick(const base::service_id& id);
    /// Answers a request that there is no memory for.
    void refuse_for_memory(http::server_session& session, const http::request_head& head, const char* cause);
    void schedule_tick(const base::service_id& id);
    [[nodiscard]] retry::budget_options budget_options() const;
    /// @return price of the traffic between zones, with a log line on each change of a service's state;
    /// absent
    ///         without a price.
    [[nodiscard]] std::optional<scheduling::zone_options> zone_options(const base::service_id& id) const;

    std::unordered_map<base::service_id, service_state> services_;
    /// Servers that have announced in a response that they stop are draining here.
    std::unordered_map<base::service_id, std::vector<catalog::backend_server>> servers_by_service_;
    catalog::evacuation_state evacuations_;
    bool leaving_servers_pending_ = false;  ///< a server has announced that it stops
    std::unordered_map<http::server_session*, scheduling::local_request_id> ids_by_session_;
    bool memory_check_pending_ = false;
    std::uint64_t last_request_id_ = 0;
};

}  // namespace chicorygap::proxy
