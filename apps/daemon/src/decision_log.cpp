#include "decision_log.h"

#include "backpressure/server_status.h"
#include "base/log.h"
#include "crash_guard/prompt_guard.h"
#include "proxy/request_record.h"

#include <chrono>
#include <string>

namespace chicorygap::daemon_app {

long long to_ms(base::duration d) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

void log_request(const proxy::request_record& r, std::optional<base::duration> configuration_age) {
    base::log_line line{base::log_level::info, "proxy", "Request ended."};
    line.field("request", r.id.str())
        .field("route", r.route)
        .field("service", r.service.str())
        .field("workspace", r.workspace.str())
        .field("tier", r.tier.level)
        .field("status", r.status)
        .field("run_state", base::to_string(r.run_state))
        .field("attempts", r.attempts)
        .field("server", r.server.str())
        .field("waited_ms", to_ms(r.queue_time))
        .field("total_ms", to_ms(r.total_time))
        .field("version", static_cast<long long>(r.catalog_version))
        .code(r.code);
    if (configuration_age) {
        line.field("config_age_ms", to_ms(*configuration_age));
    }
    if (r.server_list_age) {
        line.field("servers_age_ms", to_ms(*r.server_list_age));
    }
    if (r.peer_load_age) {
        line.field("peers_age_ms", to_ms(*r.peer_load_age));
    }
    if (r.prompt_tokens > 0) {
        line.field("prompt_tokens", static_cast<long long>(r.prompt_tokens))
            .field("unread_tokens", static_cast<long long>(r.prefill_tokens))
            .field("home", r.affinity_rank ? std::to_string(*r.affinity_rank) : "none");
    }
    if (r.time_to_first_output) {
        line.field("first_ms", to_ms(*r.time_to_first_output))
            .field("events", static_cast<long long>(r.event_count))
            .field("longest_pause_ms", to_ms(r.max_token_gap))
            .field("last_event", r.last_event_id.value_or("none"));
    }
    if (r.framing != http::body_framing::none) {
        line.field("framing", http::to_string(r.framing));
    }
    if (r.server_queue_length && !r.server_load) {
        line.field("server_waiting", *r.server_queue_length);
    }
    if (r.server_load) {
        line.field("server_running", r.server_load->running).field("server_waiting", r.server_load->waiting);
    }
    if (r.server_load && r.server_load->pace) {
        line.field("server_pace", std::to_string(*r.server_load->pace));
    }
    if (r.server_signals.rate_limit) {
        line.field("server_limit", std::to_string(*r.server_signals.rate_limit));
    }
    if (r.server_signals.retry_after) {
        line.field("server_retry_after_ms", to_ms(*r.server_signals.retry_after));
    }
    if (r.server_signals.leaving) {
        line.field("server_leaving", "yes");
    }
    if (r.unacknowledged_bytes) {
        line.field("unacknowledged_bytes", static_cast<long long>(*r.unacknowledged_bytes));
    }
    if (!r.failure_cause.empty()) {
        line.field("cause", r.failure_cause);
    }
}

void log_part_decision(const crash_guard::part_status& s, std::string_view source) {
    base::log_line{
        base::log_level::warning, "proxy",
        s.quarantined ? "Prompt part quarantined: servers end when they answer it." : "Prompt part released."}
        .field("part", crash_guard::part_text(s.part))
        .field("source", std::string{source})
        .field("ends", static_cast<long long>(s.ends))
        .field("servers", static_cast<long long>(s.servers))
        .field("chance", std::to_string(s.chance))
        .field("age_ms", to_ms(s.age))
        .field("retry_after_ms", to_ms(s.retry_after));
}

void log_server_signals(const backpressure::server_status& s, std::string_view source) {
    base::log_line line{base::log_level::info, "proxy", "Signals of a server changed."};
    line.field("server", s.server.str())
        .field("service", s.service.str())
        .field("source", std::string{source})
        .field("limit", s.limit ? std::to_string(*s.limit) : "none");
    if (s.limit) {
        line.field("named", std::to_string(s.named_limit))
            .field("share", std::to_string(s.share))
            .field("daemons", static_cast<long long>(s.daemons))
            .field("age_ms", to_ms(s.limit_age));
    }
    line.field("wait_ms", to_ms(s.wait)).field("leaving", s.leaving ? "yes" : "no");
}

void log_cold_server(const backpressure::server_status& s) {
    base::log_line{base::log_level::info, "proxy", "Server is cold."}
        .field("server", s.server.str())
        .field("service", s.service.str())
        .field("source", std::string{s.cold_source})
        .field("remaining_ms", to_ms(s.cold))
        .field("share", std::to_string(s.cold_share))
        .field("daemons", static_cast<long long>(s.cold_daemons));
}

}  // namespace chicorygap::daemon_app
