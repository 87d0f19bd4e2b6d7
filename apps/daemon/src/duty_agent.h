/// @file
/// Tasks of the lease holder, the one daemon that acts for the whole fleet.
#pragma once

#include "base/time.h"
#include "catalog/backend_server.h"
#include "catalog/snapshot.h"
#include "duties/autoscaler.h"
#include "duties/recent_maximum.h"
#include "duties/usage_reporter.h"
#include "lease/role_lease.h"
#include "metering/meter.h"
#include "net/loop.h"
#include "platform/cloud_client.h"
#include "platform/record_store.h"
#include "platform/store_client.h"
#include "scheduling/scheduler.h"
#include "settings/edge_settings.h"
#include "sharing/peer_table.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace chicorygap::daemon_app {

/// Functions that return the current state of the daemon.
struct duty_queries {
    std::function<std::shared_ptr<const catalog::snapshot>()> catalog;
    std::function<std::vector<catalog::backend_server>()> servers;
    std::function<std::unordered_map<base::service_id, scheduling::scheduler_status>()> load;
    /// Adds what the servers of a service and its callers say about its load.
    std::function<void(const base::service_id&, duties::service_demand&)> add_signals;
    /// @return true if this daemon competes for the lease while no peer holds it.
    std::function<bool()> may_compete;
};

/// Competes for the fleet's lease. While holding it, reports usage and requests servers from the platform.
///
/// Usage: `duty_agent a{loop, settings, store, peers, meter, incarnation, queries}; a.start();`
class duty_agent {
public:
    duty_agent(net::loop& l, const settings::edge_settings& s, platform::store_client& store,
               const sharing::peer_table& peers, metering::meter& meter, std::uint64_t incarnation,
               duty_queries queries);
    ~duty_agent();
    duty_agent(const duty_agent&) = delete;
    duty_agent& operator=(const duty_agent&) = delete;

    /// Starts competing for the lease. Does nothing if the settings have no address for usage reports
    /// and capacity requests.
    void start();

    /// Releases the lease and stops competing for it.
    void stop();

    /// Takes note of a new era of the store.
    /// @param restored the store has returned from a copy; false if no era was known before.
    void on_store_era(std::uint64_t era, bool restored);

    /// @return the stored counts of the latest usage windows while the lease is held, for the peers.
    [[nodiscard]] std::map<metering::window_number, metering::workspace_counts> stored_windows() const;
    /// Remembers what the lease holder has stored.
    void remember_stored_window(metering::window_number w, const metering::workspace_counts& counts);

    /// @return the fencing token if the lease is held, else 0.
    [[nodiscard]] std::uint64_t held_term() const;

private:
    void tick();
    void apply(const std::vector<lease::lease_action>& actions);
    void handle(const lease::lease_event& e);
    /// @return true if the lease is held and the data of the peers has had time to arrive.
    [[nodiscard]] bool may_act() const;
    [[nodiscard]] base::wall_time median_wall_time() const;

    void report_usage();
    void store_window(const duties::store_window& action);
    void read_window(const duties::read_window& action);
    void report_window(const duties::report_window& action);
    void run_autoscalers();
    void send_capacity_request(const base::service_id& id, const duties::capacity_request& request);
    void on_lease_lost();

    net::loop& loop_;
    const settings::edge_settings& settings_;
    platform::store_client& store_;
    const sharing::peer_table& peers_;
    metering::meter& meter_;
    duty_queries queries_;
    lease::role_lease lease_;
    platform::record_store lease_records_;
    std::optional<platform::cloud_client> cloud_;
    duties::usage_reporter reporter_;
    std::map<base::service_id, std::unique_ptr<duties::autoscaler>> autoscalers_;
    net::timer_id timer_ = net::timer_id::none;
    base::time_point next_autoscaling_;
    std::optional<base::time_point> servers_known_since_;  ///< first time at which any server was known
    base::time_point acquired_at_;
    bool candidate_ = false;
    bool stopping_ = false;
    /// Number of live daemons. One that is lost for good sends no counts, which are waited for only so long.
    duties::recent_maximum live_daemons_;
};

}  // namespace chicorygap::daemon_app
