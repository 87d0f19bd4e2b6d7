// What the daemon answers on its operator address.
#include "edge_daemon.h"
#include "edge_metrics.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <string>
#include <string_view>
#include <utility>

namespace chicorygap::daemon_app {

namespace {

/// Lines about changes of the memory level in one interval; the level may change with each request.
constexpr int max_memory_log_lines = 4;
constexpr base::duration memory_log_interval = std::chrono::seconds{1};

/// @return private memory of this process; 0 if the system does not tell it.
std::size_t process_memory_bytes() {
    constexpr std::string_view name = "RssAnon:";
    std::ifstream in{"/proc/self/status"};
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with(name)) {
            return std::stoull(line.substr(name.size())) * 1024;
        }
    }
    return 0;
}

double to_seconds(std::optional<base::duration> d) {
    return d ? std::chrono::duration<double>{*d}.count() : 0;
}

}  // namespace

std::optional<base::duration> edge_daemon::confirmation_age(const platform::object_cache& cache) const {
    return cache.last_confirmed() == base::time_point{}
               ? std::nullopt
               : std::optional<base::duration>{loop_.now() - cache.last_confirmed()};
}

void edge_daemon::respond_to_operator(http::server_session& s, const http::request& r) {
    if (configuration_mirror_.handle(s, r) || server_mirror_.handle(s, r) || evacuations_.handle(s, r)) {
        return;
    }
    if (quarantine_endpoint_.handle(s, r, loop_.now()) || signal_endpoint_.handle(s, r, loop_.now()) ||
        evacuation_endpoint_.handle(s, r, loop_.now())) {
        return;
    }
    if (r.head.target != "/metrics") {
        s.respond({.status = 404}, {});
        return;
    }
    set_gauges();
    http::response_head head{.status = 200};
    head.headers.add("Content-Type", "text/plain; version=0.0.4");
    s.respond(std::move(head), metrics_->text());
}

void edge_daemon::set_gauges() {
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
    metrics_->set_gauge("configuration_age_seconds", to_seconds(confirmation_age(configuration_cache_)));
    metrics_->set_gauge("servers_age_seconds", to_seconds(confirmation_age(server_cache_)));
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
    set_evacuation_gauges(now);
    for (const auto& [service, status] : router_.status()) {
        if (status.zones) {
            metrics_->set_zone_status(service, *status.zones);
        }
    }
    set_memory_gauges();
}

void edge_daemon::set_memory_gauges() {
    metrics_->set_gauge("memory_limit_bytes", static_cast<double>(settings_.memory_limit_bytes));
    metrics_->set_gauge("memory_process_bytes", static_cast<double>(process_memory_bytes()));
    metrics_->set_gauge("memory_account_limit_bytes", static_cast<double>(memory_.limit()));
    metrics_->set_gauge("memory_account_bytes", static_cast<double>(memory_.held()));
    metrics_->set_gauge("memory_account_peak_bytes", static_cast<double>(memory_.peak()));
    metrics_->set_gauge("memory_account_level", static_cast<double>(memory_.level()));
    const auto& refused = memory_relief_.total();
    metrics_->set_gauge("request_heads_refused", static_cast<double>(refused.heads_refused));
    metrics_->set_gauge("request_heads_too_long", static_cast<double>(refused.heads_too_long));
    metrics_->set_gauge("connections_closed_for_memory", static_cast<double>(refused.connections_closed));
    for (const auto o : memory::all_owners) {
        metrics_->set_gauge("memory_account_bytes_" + std::string{memory::to_string(o)},
                            static_cast<double>(memory_.held(o)));
    }
}

// The hook is called inside a change of a charge, where no connection may be closed.
void edge_daemon::on_memory_level(memory::pressure from, memory::pressure to) {
    log_memory_level(from, to);
    if (to < memory::pressure::critical || std::exchange(memory_relief_pending_, true)) {
        return;
    }
    loop_.after({}, [this] {
        memory_relief_pending_ = false;
        memory_relief_.relieve(caller_sessions_);
        router_.check_memory();
    });
}

void edge_daemon::log_memory_level(memory::pressure from, memory::pressure to) {
    const auto now = loop_.now();
    if (now - memory_log_window_ >= memory_log_interval) {
        memory_log_window_ = now;
        memory_log_lines_ = 0;
    }
    if (++memory_log_lines_ > max_memory_log_lines) {
        return;
    }
    base::log_line line{to > from ? base::log_level::warning : base::log_level::info, "daemon",
                        "Memory level changed."};
    line.field("from", memory::to_string(from))
        .field("to", memory::to_string(to))
        .field("held", static_cast<long long>(memory_.held()))
        .field("limit", static_cast<long long>(memory_.limit()))
        .field("process", static_cast<long long>(process_memory_bytes()));
    for (const auto o : memory::all_owners) {
        line.field(memory::to_string(o), static_cast<long long>(memory_.held(o)));
    }
}

void edge_daemon::set_evacuation_gauges(base::time_point now) {
    if (!evacuations_.enabled()) {
        return;
    }
    const auto in_force = evacuations_.evacuations();
    std::optional<base::duration> oldest;
    for (const auto& e : in_force) {
        oldest = std::max(oldest.value_or(base::duration{}), now - e.since);
    }
    metrics_->set_gauge("zones_evacuated", static_cast<double>(in_force.size()));
    metrics_->set_gauge("zones_evacuated_unknown", static_cast<double>(evacuations_.unknown_zone_count()));
    metrics_->set_gauge("evacuation_age_seconds", to_seconds(oldest));
    metrics_->set_gauge("evacuations_list_age_seconds", to_seconds(confirmation_age(evacuations_.cache())));
}

void edge_daemon::set_signal_gauges(base::time_point now) {
    const auto& signals = router_.server_signals();
    std::size_t limited = 0;
    std::size_t paused = 0;
    std::size_t leaving = 0;
    std::size_t cold = 0;
    double limits = 0;
    double share = 0;
    for (const auto& s : signals.status(now)) {
        limited += s.limit ? 1 : 0;
        limits += s.limit.value_or(0);
        share += s.share;
        paused += s.wait > base::duration{} ? 1 : 0;
        leaving += s.leaving ? 1 : 0;
        cold += s.cold > base::duration{} ? 1 : 0;
    }
    metrics_->set_gauge("servers_limited", static_cast<double>(limited));
    metrics_->set_gauge("server_limits_per_second", limits);
    metrics_->set_gauge("server_limit_share_per_second", share);
    metrics_->set_gauge("servers_paused", static_cast<double>(paused));
    metrics_->set_gauge("server_reports_invalid", static_cast<double>(router_.invalid_server_reports()));
    metrics_->set_gauge("servers_leaving", static_cast<double>(leaving));
    metrics_->set_gauge("servers_cold", static_cast<double>(cold));
    metrics_->set_gauge("starts_deferred_by_warmup",
                        static_cast<double>(signals.starts_deferred_by_warmup()));
    metrics_->set_gauge("starts_deferred_by_signals", static_cast<double>(signals.deferred_starts()));
}

}  // namespace chicorygap::daemon_app
