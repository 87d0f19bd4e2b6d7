#include "memory_relief.h"

#include "base/log.h"
#include "http/connection_shedding.h"
#include "http/server_session.h"
#include "memory/account.h"

#include <chrono>
#include <vector>

namespace chicorygap::daemon_app {

namespace {

constexpr base::duration log_interval = std::chrono::seconds{1};

}  // namespace

void memory_relief::relieve(const session_set& callers) {
    if (account_.level() < memory::pressure::critical) {
        return;
    }
    // A session that is closed removes itself from the set.
    const std::vector<std::shared_ptr<http::server_session>> sessions{callers.begin(), callers.end()};
    std::vector<http::held_connection> held;
    held.reserve(sessions.size());
    for (const auto& s : sessions) {
        held.push_back(s->holding());
    }
    for (const auto i : http::connections_to_close(held, account_)) {
        sessions[i]->give_up();
        ++counts_.connections_closed;
    }
}

void memory_relief::log_if_due(base::time_point now) {
    if (counts_ == logged_ || now - logged_at_ < log_interval) {
        return;
    }
    base::log_line{base::log_level::warning, "daemon", "Heads of requests refused."}
        .field("no_memory", static_cast<long long>(counts_.heads_refused - logged_.heads_refused))
        .field("too_long", static_cast<long long>(counts_.heads_too_long - logged_.heads_too_long))
        .field("connections_closed",
               static_cast<long long>(counts_.connections_closed - logged_.connections_closed))
        .field("request_head", static_cast<long long>(account_.held(memory::owner::request_head)))
        .field("held", static_cast<long long>(account_.held()))
        .field("limit", static_cast<long long>(account_.limit()));
    logged_ = counts_;
    logged_at_ = now;
}

}  // namespace chicorygap::daemon_app
