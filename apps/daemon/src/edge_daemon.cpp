#include "edge_daemon.h"

#include "base/error.h"
#include "base/log.h"
#include "decision_log.h"
#include "edge_metrics.h"
#include "platform/contracts.h"
#include "platform/event_format.h"
#include "platform/object_codec.h"
#include "settings/edge_settings.h"

#include <algorithm>
#include <atomic>
#include <string_view>
#include <unistd.h>
#include <utility>

namespace chicorygap::daemon_app {

using namespace std::chrono_literals;

namespace {

std::atomic<bool> stop_requested{false};
std::atomic<bool> reload_requested{false};

/// Interval of the checks for signals, expired server entries, changes of the fleet size and the end of the
/// shutdown.
constexpr base::duration housekeeping_interval = 100ms;
/// Interval of the checks of the settings file, which may change without a signal.
constexpr base::duration settings_check_interval = 2s;
/// Limit on the body of a request to the operator or readiness address.
constexpr std::size_t max_internal_body_bytes = std::size_t{1024} * 1024;
/// Log output that is buffered while its reader stalls: a few seconds of output on the day of highest load.
constexpr std::size_t max_log_buffer_bytes = std::size_t{256} * 1024;

/// Time after the last response of the store within which a mirror answers that nothing has changed: its
/// longest wait for the store, and a margin.
constexpr base::duration max_mirror_confirmation_age = 2300ms;

/// Memory reserved for one open request: its header, its part of the buffered output and the connection to
/// its server. Bodies and responses are counted by the account.
constexpr std::size_t memory_bytes_per_request = std::size_t{48} * 1024;
/// Open requests, and all buffers on the account, may use the memory divided by this number. The rest is for
/// the program, the configuration, the server list and what the allocator does not return.
constexpr std::size_t request_memory_divisor = 2;
/// File descriptors that are not available for connections of callers and to servers: log, listeners, store,
/// peers, and those that the platform reserves for files.
constexpr std::size_t reserved_descriptor_count = 260;

/// Reserves two descriptors per caller, because each caller may need a connection to a server.
/// @return limit on the open connections of callers.
std::size_t max_caller_connections(const settings::edge_settings& s) {
    return s.max_descriptors > 2 * reserved_descriptor_count
               ? (s.max_descriptors - reserved_descriptor_count) / 2
               : reserved_descriptor_count / 2;
}

/// @return time of the last write to the file; the earliest possible time if it cannot be read.
std::filesystem::file_time_type modification_time(const std::string& path) {
    std::error_code ec;
    const auto t = std::filesystem::last_write_time(path, ec);
    return ec ? std::filesystem::file_time_type::min() : t;
}

}  // namespace

proxy::router_options edge_daemon::router_options(const settings::edge_settings& s,
                                                  memory::account& account) {
    // The share of the fleet's retries follows when it is known what an earlier process may have spent.
    return {.self = s.vm,
            .zone = s.zone,
            .retries = {.ratio = s.retries.ratio, .extra_retries = 0, .window = s.retries.window},
            .cold_servers = s.cold_servers
                                ? std::optional<backpressure::warmup_bounds>{{s.cold_servers->overage,
                                                                              s.cold_servers->slack}}
                                : std::nullopt,
            .max_open_requests = s.memory_limit_bytes / request_memory_divisor / memory_bytes_per_request,
            .account = &account,
            .zone_byte_price_ms_per_mb = s.zone_byte_price_ms_per_mb,
            .shared_machines = platform::machines_are_shared(s.contracts)};
}

void edge_daemon::request_stop() noexcept {
    stop_requested = true;
}

void edge_daemon::request_reload() noexcept {
    reload_requested = true;
}

edge_daemon::edge_daemon(settings::edge_settings s, std::string settings_path)
    : settings_{std::move(s)},
      settings_path_{std::move(settings_path)},
      settings_modified_at_{modification_time(settings_path_)},
      max_caller_connections_{max_caller_connections(settings_)},
      random_engine_{std::random_device{}()},
      memory_{settings_.memory_limit_bytes / request_memory_divisor},
      log_output_{loop_, STDOUT_FILENO, max_log_buffer_bytes},
      metrics_{std::make_unique<edge_metrics>()},
      router_{loop_,
              header_codec_,
              router_options(settings_, memory_),
              random(),
              {.run_started = [this](const base::workspace_id& w) { count_started_request(w); },
               .request_ended =
                   [this](const proxy::request_record& r) {
                       metrics_->record(r);
                       log_request(r, confirmation_age(configuration_cache_));
                   },
               .signals_changed = log_server_signals,
               .signal_news = [this](bool own) { peer_exchange_.send_soon(own); },
               .server_cold = log_cold_server,
               .check_event = platform::check_event}},
      quarantine_endpoint_{router_.prompt_guard()},
      signal_endpoint_{router_.server_signals()},
      store_{loop_, settings_.store, store_era_},
      configuration_cache_{
          loop_,
          store_,
          platform::configuration_kind,
          random(),
          {.changed =
               [this] {
                   on_configuration_changed();
                   configuration_mirror_.notify_changed();
               },
           .reachable = nullptr,
           .contact = nullptr,
           .removals_final = nullptr,
           .history_lost =
               [this] {
                   server_cache_.restart_watch();
                   evacuations_.restart_watch();
               },
           .outlives = platform::is_later_configuration,
           .next_watch = [this](int n) { return next_watch_options(settings_.configuration_deadline, n); }}},
      server_cache_{loop_,
                    store_,
                    platform::server_kind,
                    random(),
                    {.changed =
                         [this] {
                             on_servers_changed();
                             server_mirror_.notify_changed();
                         },
                     .reachable =
                         [this](bool value) {
                             base::log_line{base::log_level::info, "platform",
                                            value ? "Store is reachable." : "Store is unreachable."}
                                 .field("era", static_cast<long long>(server_cache_.position().era))
                                 .field("revision",
                                        static_cast<long long>(server_cache_.position().revision));
                         },
                     .contact = [this](platform::store_contact c) { on_store_contact(c); },
                     .removals_final = [this] { on_removals_final("mirror"); },
                     .history_lost =
                         [this] {
                             configuration_cache_.restart_watch();
                             evacuations_.restart_watch();
                         },
                     .outlives = nullptr,
                     .next_watch = [this](int n) { return next_watch_options(settings_.drain_time, n); }}},
      evacuations_{loop_, store_, settings_.evacuation_deadline.has_value(), random(),
                   make_evacuation_hooks()},
      evacuation_endpoint_{evacuations_, [this] { return running_by_zone(); }},
      mirror_client_{loop_, settings_.store, store_era_, platform::store_source::mirror},
      configuration_mirror_{loop_, configuration_cache_, max_mirror_confirmation_age},
      server_mirror_{loop_, server_cache_, max_mirror_confirmation_age,
                     [this] { return directory_.removals_final(loop_.now()); }},
      directory_{settings_.drain_time},
      peer_exchange_{
          loop_,
          settings_,
          store_,
          random(),
          {.compose = [this](sharing::beacon& b, bool with_counts) { compose_beacon(b, with_counts); },
           .signals =
               [this](backpressure::audience to) { return router_.server_signals().report(to, loop_.now()); },
           .has_unsent_signals =
               [this](backpressure::audience to) {
                   return router_.server_signals().has_unreported_changes(to);
               },
           .received = [this](const sharing::beacon& b) { on_beacon(b); },
           .store_unreachable = [this] { return store_unreachable(); }}},
      meter_{{settings_.vm, peer_exchange_.incarnation()}},
      duties_{loop_,
              settings_,
              store_,
              peer_exchange_.peers(),
              meter_,
              peer_exchange_.incarnation(),
              {.catalog = [this] { return catalog_; },
               .servers = [this] { return router_.servers(); },
               .load = [this] { return router_.status(); },
               .add_signals = [this](const base::service_id& id,
                                     duties::service_demand& d) { add_signals(id, d); },
               .may_compete = [this] { return may_compete_for_lease(); }}},
      caller_listener_{loop_, settings_.callers,
                       [this](const Poco::Net::StreamSocket& x) { accept_caller(x); }},
      readiness_listener_{loop_, settings_.readiness,
                          [this](const Poco::Net::StreamSocket& x) { accept_readiness(x); }},
      operator_listener_{loop_, settings_.operators,
                         [this](const Poco::Net::StreamSocket& x) { accept_operator(x); }} {}

crash_guard::prompt_guard_hooks edge_daemon::prompt_guard_hooks() {
    return {.decided = log_part_decision,
            .news = [this](bool own) { peer_exchange_.send_soon(own); },
            .may_try = [this] { return may_try_quarantined_parts(); }};
}

edge_daemon::~edge_daemon() {
    memory_.set_change_hook(nullptr);
    base::set_log_sink(nullptr);
}

base::random_function edge_daemon::random() {
    return [this] { return random_engine_(); };
}

void edge_daemon::run() {
    base::set_log_sink([this](std::string_view line) { log_output_.write(line); });
    base::log_line{base::log_level::info, "daemon", "Started."}
        .field("vm", settings_.vm.str())
        .field("zone", settings_.zone.str())
        .field("callers", net::to_string(settings_.callers));
    memory_.set_change_hook(
        [this](memory::pressure from, memory::pressure to) { on_memory_level(from, to); });
    store_era_.set_changed_hook(
        [this](std::uint64_t previous, std::uint64_t current) { on_store_era(previous, current); });
    configuration_cache_.start();
    server_cache_.start();
    evacuations_.start();
    peer_exchange_.start();
    duties_.start();
    router_.prompt_guard().set_hooks(prompt_guard_hooks());
    loop_.every(housekeeping_interval, [this] { housekeeping(); });
    loop_.every(settings_check_interval, [this] { check_settings_file(); });
    loop_.run();
    base::log_line{base::log_level::info, "daemon", "Stopped."}.field(
        "open_requests", static_cast<long long>(router_.open_requests()));
}

http::session_limits edge_daemon::caller_session_limits() {
    const auto l = catalog_ ? catalog_->limits : catalog::caller_limits{};
    return {.head_bytes = l.max_header_bytes,
            .body_bytes = l.max_body_bytes,
            .head_time = l.header_timeout,
            .idle_time = l.idle_timeout,
            .account = &memory_};
}

http::session_hooks edge_daemon::make_session_hooks(
    session_set& sessions, std::function<void(http::server_session&, http::request&&)> received) {
    return {.received = std::move(received),
            .body_refused = nullptr,
            .head_refused = nullptr,
            .head_too_long = nullptr,
            .caller_gone = nullptr,
            .drained = nullptr,
            .closed = [&sessions](http::server_session& s) { sessions.erase(s.shared_from_this()); }};
}

void edge_daemon::accept_caller(const Poco::Net::StreamSocket& socket) {
    if (caller_sessions_.size() >= max_caller_connections_) {
        // No part of a request was read, so the caller can retry at another daemon at once.
        ++rejected_connections_;
        base::log_line{base::log_level::warning, "daemon",
                       "Connection rejected: too many caller connections."}
            .field("open", static_cast<long long>(caller_sessions_.size()));
        return;
    }
    auto hooks = make_session_hooks(caller_sessions_, [this](http::server_session& s, http::request&& r) {
        if (stopping_) {
            s.close_after_answer();
        }
        router_.handle(s, std::move(r));
    });
    hooks.body_refused = [this](http::server_session& s, const http::request_head& h) {
        router_.refuse_body(s, h);
    };
    hooks.head_refused = [this](http::server_session& s, const http::request_head* h) {
        memory_relief_.head_refused();
        router_.refuse_head(s, h);
    };
    hooks.head_too_long = [this] { memory_relief_.head_too_long(); };
    hooks.caller_gone = [this](http::server_session& s) { router_.caller_disconnected(s); };
    hooks.drained = [this](http::server_session& s) { router_.drained(s); };
    caller_sessions_.insert(
        http::server_session::start(loop_, socket, caller_session_limits(), std::move(hooks)));
}

void edge_daemon::accept_readiness(const Poco::Net::StreamSocket& socket) {
    auto hooks = make_session_hooks(internal_sessions_, [this](http::server_session& s, http::request&&) {
        s.respond({.status = ready() ? 200 : 503}, {});
    });
    internal_sessions_.insert(http::server_session::start(
        loop_, socket, {.body_bytes = max_internal_body_bytes, .account = &memory_}, std::move(hooks)));
}

void edge_daemon::accept_operator(const Poco::Net::StreamSocket& socket) {
    auto hooks = make_session_hooks(internal_sessions_, [this](http::server_session& s, http::request&& r) {
        respond_to_operator(s, r);
    });
    hooks.closed = [this](http::server_session& s) {
        configuration_mirror_.session_closed(s);
        server_mirror_.session_closed(s);
        evacuations_.session_closed(s);
        internal_sessions_.erase(s.shared_from_this());
    };
    internal_sessions_.insert(http::server_session::start(
        loop_, socket, {.body_bytes = max_internal_body_bytes, .account = &memory_}, std::move(hooks)));
}

bool edge_daemon::ready() const {
    return catalog_ && servers_known_ && evacuations_.ready() && !stopping_;
}

void edge_daemon::housekeeping() {
    if (directory_.expire(loop_.now())) {
        apply_servers();
    }
    evacuations_.expire();
    if (ready()) {
        evacuations_.check_zones([this] { return known_zones(); });
    }
    router_.prompt_guard().expire(loop_.now());
    apply_fleet_size();
    apply_fleet_to_signals();
    router_.server_signals().expire(loop_.now());
    memory_relief_.relieve(caller_sessions_);
    memory_relief_.log_if_due(loop_.now());
    if (reload_requested.exchange(false)) {
        base::log_line{base::log_level::info, "daemon", "Reload requested."}.field("file", settings_path_);
        reload();
    }
    if (stop_requested && !stopping_) {
        begin_stop();
    }
    if (stopping_) {
        finish_stop_if_due();
    }
}

void edge_daemon::count_started_request(const base::workspace_id& workspace) {
    const auto wall = peer_exchange_.peers().median_wall_time(base::wall_clock_now(), loop_.now());
    meter_.count_request(metering::window_at(wall, settings_.duties.usage_window), workspace);
}

void edge_daemon::check_settings_file() {
    if (modification_time(settings_path_) != settings_modified_at_) {
        reload();
    }
}

void edge_daemon::reload() {
    settings_modified_at_ = modification_time(settings_path_);
    auto loaded = settings_;
    try {
        loaded = settings::load_edge(settings_path_);
    } catch (const base::error& e) {
        base::log_line{base::log_level::error, "daemon",
                       "Settings file rejected; the previous settings stay in effect."}
            .field("error", e.what())
            .code(e.code());
        return;
    }
    // All other settings require a restart.
    auto applied = settings_;
    applied.log_level = loaded.log_level;
    applied.retries = loaded.retries;
    applied.stop_timeout = loaded.stop_timeout;
    const bool all_applied = applied == loaded;
    if (applied != settings_) {
        settings_ = std::move(applied);
        base::configure_log(settings_.log_level);
        applied_fleet_size_ = 0;
        applied_sharing_daemons_ = 0;
        apply_fleet_size();
    }
    base::log_line{base::log_level::info, "daemon", "Settings reloaded."}
        .field("log_level", static_cast<int>(settings_.log_level))
        .field("retry_ratio", std::to_string(settings_.retries.ratio))
        .field("retry_allowance", std::to_string(settings_.retries.extra_retries))
        .field("needs_restart", all_applied ? "no" : "yes");
}

void edge_daemon::begin_stop() {
    stopping_ = true;
    stop_started_at_ = loop_.now();
    stop_schedule_ = make_stop_schedule(settings_.stop_timeout);
    router_.set_shutdown({.accept_all_until = stop_started_at_ + stop_schedule_.accept_all_until,
                          .deadline = stop_started_at_ + stop_schedule_.end_requests_at});
    duties_.stop();
    peer_exchange_.send_now();
    for (const auto& s : caller_sessions_) {
        s->close_after_answer();
    }
    base::log_line{base::log_level::info, "daemon", "Shutting down."}.field(
        "open_requests", static_cast<long long>(router_.open_requests()));
}

void edge_daemon::finish_stop_if_due() {
    const auto elapsed = loop_.now() - stop_started_at_;
    if (elapsed >= stop_schedule_.end_requests_at && router_.open_requests() > 0) {
        base::log_line{base::log_level::warning, "daemon", "Requests ended by the shutdown."}.field(
            "open_requests", static_cast<long long>(router_.open_requests()));
        router_.end_requests();
    }
    const bool idle = elapsed >= stop_schedule_.accept_all_until && router_.open_requests() == 0 &&
                      caller_sessions_.empty();
    if (idle || elapsed >= stop_schedule_.exit_at) {
        loop_.stop();
    }
}

}  // namespace chicorygap::daemon_app
