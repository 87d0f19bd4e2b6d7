#include "backpressure/signal_table.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace chicorygap::backpressure {

namespace {

using namespace std::chrono_literals;

/// Unused starts that a daemon may keep, besides one: those of this time.
constexpr std::chrono::duration<double> burst_time = 250ms;
/// Time after which a limit that no response confirms is forgotten.
constexpr base::duration limit_lifetime = 10min;
/// Time for which the end of a limit is kept, so that peers which have not heard of it cannot restore it.
constexpr base::duration ended_limit_lifetime = 10s;
/// Time for which the signals of a server that is not listed are kept. Lists may be older than signals.
constexpr base::duration unlisted_lifetime = 30s;
constexpr std::size_t max_servers = 1024;
/// Limits in one report, which shares a datagram with the loads of the servers: large datagrams are lost more
/// often. Those of more servers are sent in turn.
constexpr std::size_t max_reported_limits = 24;
constexpr std::size_t max_reported_leaving = 24;
/// Reports that tell a change: the second one covers for a lost datagram.
constexpr std::uint32_t reports_of_change = 2;
/// Limits that are repeated in one report to other zones, which a daemon there passes on to all of its zone.
constexpr std::size_t max_repeated_to_other_zones = 4;
constexpr std::uint64_t server_key_mask = (std::uint64_t{1} << 40) - 1;

constexpr std::string_view source_server = "server";
constexpr std::string_view source_peer = "peer";

/// @return the first of a series of statement ids that no other daemon uses.
std::uint32_t first_statement(const base::vm_id& self, base::time_point started_at) {
    const auto text = self.str() + '/' + std::to_string(started_at.time_since_epoch().count());
    return XXH32(text.data(), text.size(), 0);
}

}  // namespace

server_key key_of(const catalog::backend_server& s) {
    const auto text = s.id.str() + '/' + std::to_string(s.incarnation);
    return XXH64(text.data(), text.size(), 0) & server_key_mask;
}

std::uint32_t signal_table::next_statement() {
    return ++last_statement_ == 0 ? ++last_statement_ : last_statement_;
}

signal_table::signal_table(const base::vm_id& self, const base::zone_id& zone, base::time_point started_at)
    : demands_{self, zone, started_at},
      started_at_{started_at},
      last_statement_{first_statement(self, started_at)} {}

void signal_table::set_servers(const std::vector<catalog::backend_server>& servers, base::time_point now) {
    listed_.clear();
    for (const auto& s : servers) {
        listed_.emplace(key_of(s), s);
    }
    for (auto& [key, state] : servers_) {
        const auto it = listed_.find(key);
        const bool newly_listed = !state.listed && it != listed_.end();
        state.listed = it == listed_.end() ? std::nullopt : std::optional{it->second};
        state.last_listed = state.listed ? now : state.last_listed;
        if (newly_listed) {
            update_allowance(key, state, true, now);
        }
    }
    warmups_.set_servers(servers, now);
    refresh_warmups(now);
}

void signal_table::set_warmups(std::optional<warmup_bounds> b, warmup_table::service_warmups s,
                               base::time_point now) {
    warmups_.set_bounds(b);
    warmups_.set_services(std::move(s));
    refresh_warmups(now);
}

void signal_table::record_unreachable(server_key server, base::time_point now) {
    warmups_.record_unreachable(server, now);
    refresh_warmups(now);
}

void signal_table::zone_returned(const base::zone_id& zone, base::time_point now) {
    warmups_.record_zone_returned(zone, now);
    refresh_warmups(now);
}

void signal_table::refresh_warmups(base::time_point now) {
    warmups_.refresh(demands_, now, [this, now](server_key key) {
        if (hooks_.server_cold) {
            const auto it = servers_.find(key);
            hooks_.server_cold(status_of(key, it == servers_.end() ? server_state{} : it->second, now));
        }
    });
}

void signal_table::observe(const catalog::backend_server& server, const server_signals& s,
                           base::time_point sent_at, base::time_point now) {
    const auto key = key_of(server);
    if (s.cold) {
        warmups_.record_response(key, *s.cold, now);
        refresh_warmups(now);
    }
    const bool has_signal = s.rate_limit || s.retry_after || s.leaving;
    const auto it = servers_.find(key);
    if (it == servers_.end() && !has_signal) {
        return;
    }
    auto& state = it == servers_.end() ? servers_[key] : it->second;
    if (it == servers_.end()) {
        const auto listed = listed_.find(key);
        state.listed = listed == listed_.end() ? std::nullopt : std::optional{listed->second};
        state.last_listed = now;
    }
    const bool was_active = state.limit.active();
    const bool changed = s.rate_limit ? state.limit.named(*s.rate_limit, next_statement(), now)
                                      : state.limit.not_named(sent_at, next_statement());
    if (changed) {
        limit_changed(key, state, was_active, source_server, now);
    }
    if (s.retry_after && now + *s.retry_after > state.paused_until) {
        const bool paused = now < state.paused_until;
        state.paused_until = now + *s.retry_after;
        if (!paused) {
            report_change(key, state, source_server, now);
        }
    }
    if (s.leaving) {
        set_leaving(key, state, source_server, now);
    }
    limit_size();
}

void signal_table::limit_changed(server_key key, server_state& s, bool was_active, std::string_view source,
                                 base::time_point now) {
    update_allowance(key, s, !was_active, now);
    s.reports = {};
    report_change(key, s, source, now);
    if (hooks_.news) {
        hooks_.news(source == source_server);
    }
}

void signal_table::set_leaving(server_key key, server_state& s, std::string_view source,
                               base::time_point now) {
    if (std::exchange(s.leaving, true)) {
        return;
    }
    s.reports = {};
    report_change(key, s, source, now);
    if (hooks_.news) {
        hooks_.news(source == source_server);
    }
    if (s.listed && hooks_.server_leaving) {
        hooks_.server_leaving();
    }
}

void signal_table::update_allowance(server_key key, server_state& s, bool first, base::time_point now) {
    auto& a = s.own;
    if (!s.limit.active() || !s.listed) {
        a = {};
        return;
    }
    const double rate = s.limit.rate();
    a.share = demands_.share(key, s.listed->service, s.listed->zone, rate, now);
    if (a.share.fraction <= 0) {
        a.usable_from.reset();
        a.agreed_fraction.reset();
        a.bucket.set_rate(0, 0, now);
        return;
    }
    const auto settle_time = demands_.parameters().settle_time;
    const auto known_from = started_at_ + settle_time;
    if (!a.usable_from) {
        // All daemons divide a new limit at the same time. Later, those that had this part may not have
        // noticed yet that it is this daemon's now.
        a.usable_from = first ? known_from : std::max(known_from, now + settle_time);
    }
    if (a.share.complete) {
        a.agreed_fraction = a.share.fraction;
    } else {
        // The daemons beyond a partition see the same silence. If both sides took over the other's part, they
        // would exceed the limit together.
        const double bound = a.agreed_fraction.value_or(1.0 / static_cast<double>(a.share.daemons));
        a.share.fraction = std::min(a.share.fraction, bound);
    }
    const double own_rate = rate * a.share.fraction;
    a.bucket.set_rate(own_rate, 1 + own_rate * burst_time.count(), now);
    if (first && now >= known_from) {
        a.bucket.fill(now);
    } else if (now < *a.usable_from) {
        a.bucket.clear(now);
    }
}

bool signal_table::may_start(server_key server, base::time_point now) const {
    if (!warmups_.may_start(server, now)) {
        ++deferred_by_warmup_;
        return false;
    }
    const auto it = servers_.find(server);
    if (it == servers_.end()) {
        return true;
    }
    const auto& s = it->second;
    bool allowed = !s.leaving && now >= s.paused_until;
    if (allowed && s.limit.active()) {
        allowed = s.own.usable_from && now >= *s.own.usable_from && s.own.bucket.available(now);
    }
    deferred_starts_ += allowed ? 0 : 1;
    return allowed;
}

void signal_table::record_start(server_key server, base::time_point now) {
    warmups_.record_start(server, now);
    const auto it = servers_.find(server);
    if (it != servers_.end() && it->second.limit.active()) {
        it->second.own.bucket.take(now);
    }
}

std::optional<start_forecast> signal_table::forecast(server_key server, base::time_point now) const {
    start_forecast f;
    if (const auto cold = warmups_.forecast(server, now)) {
        f = {.first = cold->first, .rate = cold->rate, .limit_ends = cold->remaining};
    }
    const auto it = servers_.find(server);
    if (it == servers_.end()) {
        return f;
    }
    const auto& s = it->second;
    if (s.leaving) {
        return std::nullopt;
    }
    f.first = std::max(f.first, s.paused_until - now);
    if (!s.limit.active()) {
        return f;
    }
    f.limit_ends.reset();
    const auto token = s.own.bucket.time_until_available(now);
    if (!s.own.usable_from || !token) {
        return std::nullopt;
    }
    f.first = std::max({f.first, *token, *s.own.usable_from - now});
    f.rate = std::min(s.own.bucket.per_second(), f.rate.value_or(s.own.bucket.per_second()));
    return f;
}

bool signal_table::leaving(server_key server) const {
    const auto it = servers_.find(server);
    return it != servers_.end() && it->second.leaving;
}

std::optional<double> signal_table::limit(server_key server) const {
    const auto it = servers_.find(server);
    return it != servers_.end() && it->second.limit.active() ? std::optional{it->second.limit.rate()}
                                                             : std::nullopt;
}

signal_report signal_table::report(audience to, base::time_point now) {
    std::vector<std::map<server_key, server_state>::value_type*> entries;
    for (auto& entry : servers_) {
        entries.push_back(&entry);
    }
    std::stable_sort(entries.begin(), entries.end(), [to](auto* a, auto* b) {
        return reports_of(a->second, to) < reports_of(b->second, to);
    });
    const auto most_repeated = to == audience::peers ? max_reported_limits : max_repeated_to_other_zones;
    signal_report out;
    std::size_t repeated = 0;
    bool any_active = false;
    for (auto* entry : entries) {
        auto& [key, s] = *entry;
        any_active = any_active || s.limit.active();
        const bool is_repetition = reports_of(s, to) >= reports_of_change;
        if (is_repetition && repeated >= most_repeated) {
            continue;
        }
        const auto limit = s.limit.record(key, now);
        const bool limit_reported = limit.statement != 0 && out.limits.size() < max_reported_limits;
        const bool leaving_reported = s.leaving && out.leaving.size() < max_reported_leaving;
        if (limit_reported) {
            out.limits.push_back(limit);
        }
        if (leaving_reported) {
            out.leaving.push_back(key);
        }
        if (limit_reported || leaving_reported) {
            ++reports_of(s, to);
            repeated += is_repetition ? 1 : 0;
        }
    }
    if (any_active && to == audience::peers) {
        out.demands = demands_.local_demands(now);
    }
    return out;
}

bool signal_table::has_unreported_changes(audience to) const {
    return std::any_of(servers_.begin(), servers_.end(), [to](const auto& entry) {
        const auto& s = entry.second;
        const bool reportable = s.leaving || s.limit.known();
        return reportable && s.reports.at(static_cast<std::size_t>(to)) == 0;
    });
}

void signal_table::merge(const base::vm_id& peer, const base::zone_id& zone, const signal_report& r,
                         bool stopping, base::time_point now) {
    demands_.observe_peer(peer, zone, r.demands, stopping, now);
    const auto state_of = [&](server_key key) -> server_state& {
        auto [it, added] = servers_.try_emplace(key);
        if (added) {
            const auto listed = listed_.find(key);
            it->second.listed = listed == listed_.end() ? std::nullopt : std::optional{listed->second};
            it->second.last_listed = now;
        }
        return it->second;
    };
    for (const auto& record : r.limits) {
        auto& s = state_of(record.server);
        const bool was_active = s.limit.active();
        if (s.limit.merge(record, now)) {
            limit_changed(record.server, s, was_active, source_peer, now);
        }
    }
    for (const auto key : r.leaving) {
        set_leaving(key, state_of(key), source_peer, now);
    }
    limit_size();
}

bool signal_table::has_signal(const server_state& s, base::time_point now) {
    return s.limit.active() || s.leaving || now < s.paused_until;
}

void signal_table::expire(base::time_point now) {
    demands_.expire(now);
    std::erase_if(servers_, [&](const auto& entry) {
        const auto& s = entry.second;
        const bool gone = !s.listed && now - s.last_listed > unlisted_lifetime;
        const bool old = !s.leaving && now >= s.paused_until &&
                         s.limit.age(now) > (s.limit.active() ? limit_lifetime : ended_limit_lifetime);
        return gone || old;
    });
    for (auto& [key, s] : servers_) {
        update_allowance(key, s, false, now);
    }
    refresh_warmups(now);
}

// Forgets servers that are not listed first: they get no requests.
void signal_table::limit_size() {
    while (servers_.size() > max_servers) {
        const auto it = std::find_if(servers_.begin(), servers_.end(),
                                     [](const auto& entry) { return !entry.second.listed; });
        servers_.erase(it == servers_.end() ? servers_.begin() : it);
    }
}

server_status signal_table::status_of(server_key key, const server_state& s, base::time_point now) const {
    server_status out;
    if (const auto it = listed_.find(key); it != listed_.end()) {
        out.server = it->second.id;
        out.service = it->second.service;
    }
    if (s.limit.active()) {
        out.limit = s.limit.rate();
        out.named_limit = s.limit.named_rate();
        out.share = s.own.bucket.per_second();
        out.daemons = s.own.share.daemons;
    }
    out.limit_age = s.limit.known() ? s.limit.age(now) : base::duration{};
    out.wait = std::max(base::duration{}, s.paused_until - now);
    out.leaving = s.leaving;
    warmups_.describe(key, out, now);
    return out;
}

void signal_table::report_change(server_key key, const server_state& s, std::string_view source,
                                 base::time_point now) const {
    if (hooks_.changed) {
        hooks_.changed(status_of(key, s, now), source);
    }
}

std::vector<server_status> signal_table::status(base::time_point now) const {
    std::vector<server_status> out;
    for (const auto& [key, s] : servers_) {
        if (s.listed && has_signal(s, now)) {
            out.push_back(status_of(key, s, now));
        }
    }
    for (const auto key : warmups_.cold_servers(now)) {
        const auto it = servers_.find(key);
        if (it == servers_.end() || !it->second.listed || !has_signal(it->second, now)) {
            out.push_back(status_of(key, it == servers_.end() ? server_state{} : it->second, now));
        }
    }
    return out;
}

}  // namespace chicorygap::backpressure
