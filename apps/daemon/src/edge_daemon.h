/// @file
/// Daemon that routes requests on the users' platform.
#pragma once

#include "base/store_era.h"
#include "base/time.h"
#include "catalog/server_directory.h"
#include "catalog/snapshot.h"
#include "duty_agent.h"
#include "evacuation_agent.h"
#include "evacuation_endpoint.h"
#include "http/server_session.h"
#include "memory/account.h"
#include "memory_relief.h"
#include "metering/meter.h"
#include "net/line_output.h"
#include "net/listener.h"
#include "net/loop.h"
#include "peer_exchange.h"
#include "platform/object_cache.h"
#include "platform/object_mirror.h"
#include "platform/platform_header_codec.h"
#include "platform/server_list.h"
#include "platform/store_client.h"
#include "proxy/request_router.h"
#include "quarantine_endpoint.h"
#include "retry/fleet_share.h"
#include "settings/edge_settings.h"
#include "signal_endpoint.h"
#include "stop_schedule.h"

#include <cstddef>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_set>

namespace chicorygap::daemon_app {

class edge_metrics;

/// Daemon that routes requests of callers to backend servers on the users' platform. Runs one event loop in
/// one thread. Servers and configuration come from the platform's store; loads, usage counts and newer copies
/// of the store's objects come from peers.
///
/// Usage: `edge_daemon d{settings, path}; d.run();`
class edge_daemon {
public:
    /// @param s settings.
    /// @param settings_path file of the settings, which is reloaded when it changes.
    /// @throws base::error with `settings_invalid` if an address cannot be used.
    edge_daemon(settings::edge_settings s, std::string settings_path);
    ~edge_daemon();
    edge_daemon(const edge_daemon&) = delete;
    edge_daemon& operator=(const edge_daemon&) = delete;

    /// Serves requests. Returns after a stop request, when the open requests have ended or shortly before the
    /// stop time of the settings is over.
    void run();

    /// Requests a graceful shutdown. Async-signal-safe.
    static void request_stop() noexcept;
    /// Requests a reload of the settings file. Async-signal-safe.
    static void request_reload() noexcept;

private:
    /// Number of daemons that is assumed after the start, until the peers are known. A smaller one would let
    /// each of many daemons that start together call the store as often as a small fleet may.
    static constexpr std::size_t assumed_fleet_size = 50;
    /// The budget counts retries in whole seconds, so that its window is up to one second longer.
    static constexpr base::duration retry_window_margin = std::chrono::seconds{1};

    [[nodiscard]] static proxy::router_options router_options(const settings::edge_settings& s,
                                                              memory::account& account);
    void accept_caller(const Poco::Net::StreamSocket& socket);
    void accept_readiness(const Poco::Net::StreamSocket& socket);
    void accept_operator(const Poco::Net::StreamSocket& socket);
    void respond_to_operator(http::server_session& s, const http::request& r);
    /// @return time since the store or a mirror last confirmed the cache; nothing before the first list.
    [[nodiscard]] std::optional<base::duration> confirmation_age(const platform::object_cache& cache) const;
    [[nodiscard]] crash_guard::prompt_guard_hooks prompt_guard_hooks();
    /// @return true if this daemon, of all in the fleet, may try a part whose quarantine is over.
    [[nodiscard]] bool may_try_quarantined_parts() const;
    void on_configuration_changed();
    void on_servers_changed();
    void on_evacuations_changed(catalog::evacuation_state state);
    [[nodiscard]] evacuation_hooks make_evacuation_hooks();
    /// @return all zones with daemons, servers or prices.
    [[nodiscard]] std::set<base::zone_id> known_zones() const;
    /// @return number of requests of this daemon that run on the servers of each zone.
    [[nodiscard]] std::map<base::zone_id, std::size_t> running_by_zone() const;
    /// Tells the owners of what is kept in the store that it has returned from a copy.
    /// @param previous 0 if no era was known.
    void on_store_era(std::uint64_t previous, std::uint64_t current);
    void on_store_contact(platform::store_contact c);
    /// Removes servers whose entries are missing in the current list.
    /// @param source peer that knows that these servers have left, for the log.
    void on_removals_final(const char* source);
    /// Passes the server list to the router, once it is known which zones are evacuated.
    void apply_servers();
    /// Activates a configuration that is newer than the active one.
    /// @param s configuration; may be null.
    /// @param source origin of the configuration, for the log.
    void apply_catalog(std::shared_ptr<const catalog::snapshot> s, const char* source);
    void housekeeping();
    /// Adds the state of this daemon to a beacon.
    /// @param with_counts true to add the usage counts.
    void compose_beacon(sharing::beacon& b, bool with_counts);
    void on_beacon(const sharing::beacon& b);
    /// Longest waits of watches in a zone with mirrors.
    struct watch_waits {
        base::duration store;   ///< of a mirror's watch of the store
        base::duration mirror;  ///< of a watch of a mirror
    };
    /// A mirror that hangs is detected after the wait of its watchers, and the changes that it missed must
    /// still be applied in time. Its own watches are longer, because calls to the store are charged; daemons
    /// whose mirror has silently lost the store learn of changes from the beacons of others.
    static constexpr watch_waits default_waits{std::chrono::milliseconds{1500},
                                               std::chrono::milliseconds{800}};
    /// Evacuations are rare and may take 5 s to be in force. A watch of 3 s that goes silent is replaced
    /// after 3.6 s, which leaves time to read the change.
    static constexpr watch_waits evacuation_waits{std::chrono::seconds{3}, std::chrono::seconds{2}};
    /// @param deadline time within which a change must be known.
    /// @return source of the next watch, which is the store or a mirror, and its longest wait.
    [[nodiscard]] platform::watch_options next_watch_options(base::duration deadline, int mirror_failures,
                                                             watch_waits waits = default_waits);
    /// @return true if recent calls to the store failed.
    [[nodiscard]] bool store_unreachable() const;
    /// In a large fleet few daemons compete for the lease, because each attempt takes calls to the store.
    [[nodiscard]] bool may_compete_for_lease() const;
    /// Fetches the objects of a cache from a peer that has newer ones, unless a watch delivers a change
    /// first.
    /// @param pending true while a fetch of this cache is pending.
    /// @param b beacon of the peer.
    void fetch_from_peer(platform::object_cache& cache, bool& pending, const sharing::beacon& b);
    void count_started_request(const base::workspace_id& workspace);
    /// Adapts the retry budget share and the batching of server changes to the number of live daemons.
    void apply_fleet_size();
    /// @param daemons number of daemons that share the retries of the fleet.
    void apply_retry_share(std::size_t daemons);
    /// Tells the signals of servers how many daemons divide their limits, and how fast these learn of news.
    void apply_fleet_to_signals();
    void set_gauges();
    void set_memory_gauges();
    void on_memory_level(memory::pressure from, memory::pressure to);
    /// Logs a change of the memory level, up to a number of lines in a second.
    void log_memory_level(memory::pressure from, memory::pressure to);
    void set_signal_gauges(base::time_point now);
    void set_evacuation_gauges(base::time_point now);
    /// Adds the limits of the servers, the demand of the fleet and the evacuated zones to the load of a
    /// service.
    void add_signals(const base::service_id& service, duties::service_demand& d) const;
    void check_settings_file();
    void reload();
    void begin_stop();
    void finish_stop_if_due();
    /// @return true if the configuration, the server list and the evacuations are known and the daemon is not
    /// stopping.
    [[nodiscard]] bool ready() const;
    [[nodiscard]] http::session_limits caller_session_limits();
    [[nodiscard]] base::random_function random();

    using session_set = std::unordered_set<std::shared_ptr<http::server_session>>;
    /// @param sessions set from which a closed session is removed.
    /// @param received called for each request.
    http::session_hooks make_session_hooks(
        session_set& sessions, std::function<void(http::server_session&, http::request&&)> received);

    settings::edge_settings settings_;
    std::string settings_path_;
    std::filesystem::file_time_type settings_modified_at_;
    std::size_t max_caller_connections_;
    std::size_t rejected_connections_ = 0;
    std::mt19937_64 random_engine_;
    memory::account memory_;  ///< outlives all holders of its charges
    memory_relief memory_relief_{memory_};
    net::loop loop_;
    net::line_output log_output_;
    platform::platform_header_codec header_codec_;
    std::unique_ptr<edge_metrics> metrics_;
    proxy::request_router router_;
    quarantine_endpoint quarantine_endpoint_;
    signal_endpoint signal_endpoint_;
    base::store_era store_era_;
    platform::store_client store_;
    platform::object_cache configuration_cache_;
    platform::object_cache server_cache_;
    evacuation_agent evacuations_;
    evacuation_endpoint evacuation_endpoint_;
    platform::store_client mirror_client_;
    platform::object_mirror configuration_mirror_;
    platform::object_mirror server_mirror_;
    platform::server_list server_list_;
    catalog::server_directory directory_;
    peer_exchange peer_exchange_;
    metering::meter meter_;
    duty_agent duties_;
    std::shared_ptr<const catalog::snapshot> catalog_;
    session_set caller_sessions_;
    /// Connections to the operator and readiness addresses.
    session_set internal_sessions_;
    net::listener caller_listener_;
    net::listener readiness_listener_;
    net::listener operator_listener_;
    base::time_point memory_log_window_;
    int memory_log_lines_ = 0;  ///< in the current window, with those that were left out
    bool memory_relief_pending_ = false;
    bool servers_known_ = false;
    bool configuration_fetch_pending_ = false;
    bool servers_fetch_pending_ = false;
    bool evacuations_fetch_pending_ = false;
    /// Number of live daemons that `apply_fleet_size` was last called for; 0 makes its next call take effect.
    std::size_t applied_fleet_size_ = 0;
    base::time_point started_at_ = base::boot_clock::now();
    retry::fleet_share fleet_share_{started_at_, settings_.retries.window + retry_window_margin};
    /// Values that `apply_retry_share` was last called for.
    std::size_t applied_sharing_daemons_ = 0;
    std::optional<int> applied_extra_retries_;
    bool stopping_ = false;
    base::time_point stop_started_at_;
    stop_schedule stop_schedule_;
};

}  // namespace chicorygap::daemon_app
