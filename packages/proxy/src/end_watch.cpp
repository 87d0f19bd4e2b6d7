#include "end_watch.h"

#include "base/log.h"
#include "crash_guard/prompt_guard.h"
#include "evidence_text.h"
#include "http/client_connection.h"
#include "http/connection_pool.h"
#include "net/loop.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace chicorygap::proxy {

namespace {

using namespace std::chrono_literals;

/// Time for which an instance that drained is remembered after it has left the list.
constexpr base::duration drained_memory = 60s;
/// Time between an error response and the end of the process that sent it.
constexpr base::duration error_memory = 500ms;
/// Time between a time-out and the end of a process that hangs.
constexpr base::duration timeout_memory = 5s;
/// Connections of one process that ends break within this time.
constexpr base::duration same_moment = 50ms;
constexpr std::size_t max_failures_per_instance = 16;

std::uint64_t hash_of(const std::string& text) {
    return XXH64(text.data(), text.size(), 0);
}

}  // namespace

end_watch::end_watch(net::loop& l, http::connection_pool& pool, crash_guard::prompt_guard& guard)
    : loop_{l}, pool_{pool}, guard_{guard}, check_{l} {
    pool_.set_idle_ended([this](const std::string& instance) { idle_connection_ended(instance); });
}

void end_watch::set_servers(const std::vector<catalog::backend_server>& servers) {
    const auto now = loop_.now();
    auto before = std::exchange(listed_, {});
    for (const auto& s : servers) {
        const auto key = s.instance_key();
        listed_.emplace(key, s);
        if (s.draining) {
            drained_[key] = now;
        }
        before.erase(key);
    }
    std::erase_if(drained_, [&](const auto& x) {
        return !listed_.contains(x.first) && now - x.second > drained_memory;
    });
    for (const auto& [key, s] : before) {
        if (!drained_.contains(key)) {
            guard_.confirm_end(hash_of(key), now);
            record_failures(key, {.connect = connect_result::refused});
        }
    }
}

end_watch::listing end_watch::listing_of(const catalog::backend_server& s) const {
    const auto key = s.instance_key();
    if (drained_.contains(key)) {
        return listing::leaving;
    }
    return listed_.contains(key) ? listing::listed : listing::gone;
}

std::string_view end_watch::to_string(listing l) noexcept {
    switch (l) {
        case listing::listed:
            return "yes";
        case listing::leaving:
            return "leaving";
        case listing::gone:
            return "gone";
    }
    return "unknown";
}

std::vector<std::shared_ptr<http::client_connection>> end_watch::witnesses(
    const std::string& instance) const {
    return pool_.connections_open_since(instance, loop_.now() - same_moment);
}

void end_watch::attempt_broke(const suspect_attempt& a, std::function<void()> done) {
    const auto instance = a.server.instance_key();
    check_.start(instance, a.server.address, witnesses(instance),
                 [this, a, instance, done = std::move(done)](const check_finding& f) {
                     record(a, f);
                     record_failures(instance, f);
                     done();
                 });
}

void end_watch::attempt_timed_out(const suspect_attempt& a) {
    check_.start(a.server.instance_key(), a.server.address, {}, [this, a](const check_finding& f) {
        // A process that accepts connections may just be slow, or hang and end later.
        if (f.connect == connect_result::accepted) {
            remember(a, timeout_memory);
        } else {
            record(a, f);
        }
    });
}

void end_watch::error_received(const suspect_attempt& a) {
    remember(a, error_memory);
}

void end_watch::remember(const suspect_attempt& a, base::duration lifetime) {
    const auto now = loop_.now();
    auto& failures = failures_[a.server.instance_key()];
    failures.push_back({a, now, now + lifetime});
    if (failures.size() > max_failures_per_instance) {
        failures.erase(failures.begin());
    }
    forget_old_failures();
}

void end_watch::record_failures(const std::string& instance, const check_finding& f) {
    forget_old_failures();
    if (f.state() != process_state::ended) {
        return;  // the server may have closed these connections only
    }
    const auto node = failures_.extract(instance);
    if (node.empty()) {
        return;
    }
    for (auto x : node.mapped()) {
        x.attempt.length += loop_.now() - x.at;  // the server could have ended by chance until now
        record(x.attempt, f);
    }
}

void end_watch::idle_connection_ended(const std::string& instance) {
    forget_old_failures();
    const auto it = failures_.find(instance);
    const auto* server = it == failures_.end() ? watched(instance) : &it->second.front().attempt.server;
    if (server == nullptr) {
        return;
    }
    check_.start(instance, server->address, witnesses(instance), [this, instance](const check_finding& f) {
        record_failures(instance, f);
        const auto* ended = f.state() == process_state::ended ? watched(instance) : nullptr;
        if (ended != nullptr) {
            hooks_.ended(*ended);
        }
    });
}

const catalog::backend_server* end_watch::watched(const std::string& instance) const {
    const auto it = listed_.find(instance);
    const bool wanted =
        it != listed_.end() && !drained_.contains(instance) && hooks_.watched && hooks_.watched(it->second);
    return wanted ? &it->second : nullptr;
}

void end_watch::forget_old_failures() {
    const auto now = loop_.now();
    for (auto& [instance, failures] : failures_) {
        std::erase_if(failures, [&](const auto& x) { return now > x.until; });
    }
    std::erase_if(failures_, [](const auto& x) { return x.second.empty(); });
}

void end_watch::record(const suspect_attempt& a, const check_finding& f) {
    const auto now = loop_.now();
    const auto entry = listing_of(a.server);
    // An entry that is gone without having drained shows the end, even if another process has the address.
    const bool gone = entry == listing::gone && f.state() == process_state::unknown;
    const auto state = gone ? process_state::ended : f.state();
    const bool recorded = entry != listing::leaving && state != process_state::alive;
    if (recorded) {
        guard_.record_crash(a.parts,
                            {.server = hash_of(a.server.id.str()),
                             .instance = hash_of(a.server.instance_key()),
                             .progress = a.progress,
                             .length = a.length,
                             .progressed = a.progressed,
                             .confirmed = state == process_state::ended},
                            now);
    }
    base::log_line{base::log_level::info, "proxy", "Server checked after a failed attempt."}
        .field("request", a.request.str())
        .field("server", a.server.id.str())
        .field("state", proxy::to_string(state))
        .field("connect", proxy::to_string(f.connect))
        .field("witnesses", static_cast<long long>(f.witnesses))
        .field("survivors", static_cast<long long>(f.survivors))
        .field("listed", to_string(entry))
        .field("recorded", recorded ? "yes" : "no")
        .field("progress", static_cast<int>(a.progress))
        .field("shared_parts", shared_parts_text(a.parts))
        .field("own_part", own_part_text(a.parts))
        .field("evidence", evidence_text(guard_.status_of(a.parts, now)));
}

}  // namespace chicorygap::proxy
