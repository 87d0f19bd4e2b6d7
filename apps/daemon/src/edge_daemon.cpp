#include "edge_daemon.h"

#include "base/error.h"
#include "base/log.h"
#include "decision_log.h"
#include "edge_metrics.h"
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

/// @return time since the store or a mirror last confirmed the cache; nothing before the first list.
std::optional<base::duration> confirmation_age(const platform::object_cache& cache, base::time_point now) {
    return cache.last_confirmed() == base::time_point{}
               ? std::nullopt
               : std::optional<base::duration>{now - cache.last_confirmed()};
}

double to_seconds(std::optional<base::duration> d) {
    return d ? std::chrono::duration<double>{*d}.count() : 0;
}

/// Memory reserved for one open request: its header, its part of the buffered output and the connection to
/// its server. Bodies are small in comparison.
constexpr std::size_t memory_bytes_per_request = std::size_t{48} * 1024;
/// Open requests may use the memory divided by this number. The rest is for the program, the configuration
/// and the server list.
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

proxy::router_options edge_daemon::router_options(const settings::edge_settings& s) {
    const auto daemons = static_cast<double>(assumed_fleet_size);
    return {.self = s.vm,
            .zone = s.zone,
            .retries = {.ratio = s.retries.ratio,
                        .extra_retries = static_cast<int>(s.retries.extra_retries / daemons),
                        .window = s.retries.window},
            .max_open_requests = s.memory_limit_bytes / request_memory_divisor / memory_bytes_per_request};
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
      log_output_{loop_, STDOUT_FILENO, max_log_buffer_bytes},
      metrics_{std::make_unique<edge_metrics>()},
      router_{loop_,
              header_codec_,
              router_options(settings_),
              random(),
              {.run_started = [this](const base::workspace_id& w) { count_started_request(w); },
               .request_ended =
                   [this](const proxy::request_record& r) {
                       metrics_->record(r);
                       log_request(r, confirmation_age(configuration_cache_, loop_.now()));
                   },
               .signals_changed = log_server_signals,
               .signal_news = [this](bool own) { peer_exchange_.send_soon(own); }}},
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
           .history_lost = [this] { server_cache_.restart_watch(); },
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
                     .history_lost = [this] { configuration_cache_.restart_watch(); },
                     .outlives = nullptr,
                     .next_watch = [this](int n) { return next_watch_options(settings_.drain_time, n); }}},
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
    store_era_.set_changed_hook(
        [this](std::uint64_t previous, std::uint64_t current) { on_store_era(previous, current); });
    configuration_cache_.start();
    server_cache_.start();
    peer_exchange_.start();
    duties_.start();
    router_.prompt_guard().set_hooks(prompt_guard_hooks());
    loop_.every(housekeeping_interval, [this] { housekeeping(); });
    loop_.every(settings_check_interval, [this] { check_settings_file(); });
    loop_.run();
    base::log_line{base::log_level::info, "daemon", "Stopped."}.field(
        "open_requests", static_cast<long long>(router_.open_requests()));
}

http::session_limits edge_daemon::caller_session_limits() const {
    const auto l = catalog_ ? catalog_->limits : catalog::caller_limits{};
    return {.head_bytes = l.max_header_bytes,
            .body_bytes = l.max_body_bytes,
            .head_time = l.header_timeout,
            .idle_time = l.idle_timeout};
}

http::session_hooks edge_daemon::make_session_hooks(
    session_set& sessions, std::function<void(http::server_session&, http::request&&)> received) {
    return {.received = std::move(received),
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
        loop_, socket, {.body_bytes = max_internal_body_bytes}, std::move(hooks)));
}

void edge_daemon::accept_operator(const Poco::Net::StreamSocket& socket) {
    auto hooks = make_session_hooks(internal_sessions_, [this](http::server_session& s, http::request&& r) {
        respond_to_operator(s, r);
    });
    hooks.closed = [this](http::server_session& s) {
        configuration_mirror_.session_closed(s);
        server_mirror_.session_closed(s);
        internal_sessions_.erase(s.shared_from_this());
    };
    internal_sessions_.insert(http::server_session::start(
        loop_, socket, {.body_bytes = max_internal_body_bytes}, std::move(hooks)));
}

void edge_daemon::respond_to_operator(http::server_session& s, const http::request& r) {
    if (configuration_mirror_.handle(s, r) || server_mirror_.handle(s, r)) {
        return;
    }
    if (quarantine_endpoint_.handle(s, r, loop_.now()) || signal_endpoint_.handle(s, r, loop_.now())) {
        return;
    }
    if (r.head.target != "/metrics") {
        s.respond({.status = 404}, {});
        return;
    }
    metrics_->set_gauge("open_requests", static_cast<double>(router_.open_requests()));
    metrics_->set_gauge("callers_turned_away", static_cast<double>(rejected_connections_));
    metrics_->set_gauge("connections_opened", static_cast<double>(router_.connections_opened()));
    metrics_->set_gauge("live_daemons", static_cast<double>(peer_exchange_.peers().live_count(loop_.now())));
    metrics_->set_gauge("lease_term", static_cast<double>(duties_.held_term()));
    metrics_->set_gauge("log_lines_dropped", static_cast<double>(log_output_.dropped()));
    metrics_->set_gauge("longest_loop_busy_seconds", to_seconds(loop_.longest_busy_time()));
    peer_exchange_.traffic().for_each([this](const char* purpose, std::uint64_t bytes) {
        metrics_->set_gauge(std::string{"peer_bytes_sent_"} + purpose, static_cast<double>(bytes));
    });
    metrics_->set_gauge("store_calls", static_cast<double>(store_.call_count()));
    metrics_->set_gauge("store_era", static_cast<double>(store_era_.current()));
    metrics_->set_gauge("configuration_version", catalog_ ? static_cast<double>(catalog_->version) : 0);
    const auto now = loop_.now();
    metrics_->set_gauge("configuration_age_seconds", to_seconds(confirmation_age(configuration_cache_, now)));
    metrics_->set_gauge("servers_age_seconds", to_seconds(confirmation_age(server_cache_, now)));
    metrics_->set_gauge("servers_kept", static_cast<double>(directory_.kept_count()));
    metrics_->set_gauge("servers_invalid", static_cast<double>(server_list_.invalid_count()));
    metrics_->set_gauge("servers_ignored", static_cast<double>(directory_.ignored_count()));
    const auto parts = router_.prompt_guard().status(now);
    const auto quarantined =
        std::count_if(parts.begin(), parts.end(), [](const auto& p) { return p.quarantined; });
    metrics_->set_gauge("prompt_parts_quarantined", static_cast<double>(quarantined));
    metrics_->set_gauge("prompt_parts_in_doubt",
                        static_cast<double>(parts.size()) - static_cast<double>(quarantined));
    set_signal_gauges(now);
    http::response_head head{.status = 200};
    head.headers.add("Content-Type", "text/plain; version=0.0.4");
    s.respond(std::move(head), metrics_->text());
}

void edge_daemon::set_signal_gauges(base::time_point now) {
    const auto& signals = router_.server_signals();
    std::size_t limited = 0;
    std::size_t paused = 0;
    std::size_t leaving = 0;
    double limits = 0;
    double share = 0;
    for (const auto& s : signals.status(now)) {
        limited += s.limit ? 1 : 0;
        limits += s.limit.value_or(0);
        share += s.share;
        paused += s.wait > base::duration{} ? 1 : 0;
        leaving += s.leaving ? 1 : 0;
    }
    metrics_->set_gauge("servers_limited", static_cast<double>(limited));
    metrics_->set_gauge("server_limits_per_second", limits);
    metrics_->set_gauge("server_limit_share_per_second", share);
    metrics_->set_gauge("servers_paused", static_cast<double>(paused));
    metrics_->set_gauge("servers_leaving", static_cast<double>(leaving));
    metrics_->set_gauge("starts_deferred_by_signals", static_cast<double>(signals.deferred_starts()));
}

bool edge_daemon::ready() const {
    return catalog_ && servers_known_ && !stopping_;
}

void edge_daemon::on_configuration_changed() {
    const auto it = configuration_cache_.items().find(platform::configuration_name);
    if (it == configuration_cache_.items().end()) {
        return;
    }
    apply_catalog(platform::decode_configuration(it->second.spec), "store");
}

void edge_daemon::apply_catalog(std::shared_ptr<const catalog::snapshot> s, const char* source) {
    if (!s) {
        return;
    }
    // After the store has returned from a copy, a version may be written again with other content.
    const bool rewritten =
        catalog_ && s->version == catalog_->version && s->content_hash != catalog_->content_hash;
    if (catalog_ && s->version <= catalog_->version && !rewritten) {
        return;
    }
    catalog_ = std::move(s);
    router_.set_catalog(catalog_);
    base::log_line{base::log_level::info, "daemon", "Configuration applied."}
        .field("version", static_cast<long long>(catalog_->version))
        .field("routes", static_cast<long long>(catalog_->route_count()))
        .field("era", static_cast<long long>(configuration_cache_.position().era))
        .field("revision", static_cast<long long>(configuration_cache_.position().revision))
        .field("source", source);
}

void edge_daemon::on_store_era(std::uint64_t previous, std::uint64_t current) {
    const bool restored = previous != 0;
    base::log_line{
        restored ? base::log_level::warning : base::log_level::info, "platform",
        restored ? "Store has returned from a copy; changes may be lost." : "Era of the store known."}
        .field("era", static_cast<long long>(current))
        .field("previous_era", static_cast<long long>(previous))
        .field("servers_revision", static_cast<long long>(server_cache_.position().revision))
        .field("configuration_revision", static_cast<long long>(configuration_cache_.position().revision))
        .field("version", static_cast<long long>(catalog_ ? catalog_->version : 0));
    duties_.on_store_era(current, restored);
    if (restored) {
        configuration_cache_.store_restored();
        directory_.store_restored(loop_.now());
        server_cache_.store_restored();
        peer_exchange_.store_restored();
    }
}

void edge_daemon::on_servers_changed() {
    server_list_.update(server_cache_.items(), server_cache_.restored_at());
    directory_.observe(server_list_.servers(), loop_.now(), server_list_.from_copy());
    if (server_cache_.removals_final()) {
        directory_.confirm_removals(loop_.now());
    }
    servers_known_ = true;
    apply_servers();
}

void edge_daemon::on_store_contact(platform::store_contact c) {
    if (c == platform::store_contact::disturbed) {
        directory_.record_store_failure(loop_.now());
    } else {
        directory_.set_store_reachable(c == platform::store_contact::established, loop_.now());
    }
}

void edge_daemon::on_removals_final(const char* source) {
    if (!directory_.confirm_removals(loop_.now())) {
        return;
    }
    base::log_line{base::log_level::info, "daemon",
                   "Missing servers removed; a peer knows that they have left."}
        .field("source", source)
        .field("era", static_cast<long long>(server_cache_.position().era))
        .field("revision", static_cast<long long>(server_cache_.position().revision));
    apply_servers();
}

void edge_daemon::apply_servers() {
    const auto servers = directory_.servers();
    router_.set_servers(servers);
    base::log_line{base::log_level::info, "daemon", "Server list updated."}
        .field("count", static_cast<long long>(servers.size()))
        .field("kept", static_cast<long long>(directory_.kept_count()))
        .field("ignored", static_cast<long long>(directory_.ignored_count()))
        .field("era", static_cast<long long>(server_cache_.position().era))
        .field("revision", static_cast<long long>(server_cache_.position().revision))
        .field("source", platform::to_string(server_cache_.source()))
        .field("store_reachable", server_cache_.reachable() ? "yes" : "no");
}

void edge_daemon::housekeeping() {
    if (directory_.expire(loop_.now())) {
        apply_servers();
    }
    router_.prompt_guard().expire(loop_.now());
    apply_fleet_size();
    apply_fleet_to_signals();
    router_.server_signals().expire(loop_.now());
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
