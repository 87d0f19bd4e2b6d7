#include "backpressure/warmup_table.h"

#include "backpressure/demand_table.h"
#include "backpressure/server_key.h"

#include <algorithm>
#include <cmath>
#include <string_view>

namespace chicorygap::backpressure {

namespace {

using namespace std::chrono_literals;

/// Time for which an instance that is no longer listed is remembered. The store may return from a copy, or a
/// list may come from a peer that is behind; its servers are not new then.
constexpr base::duration instance_memory = 10min;
/// Instances that are remembered, so that fleets which replace their servers often need bounded memory.
constexpr std::size_t max_instances = 4096;
/// A daemon has heard of its peers, from the store's list or theirs, within this time after its start. News
/// take longer in large fleets.
constexpr base::duration min_start_delay = 1s;
/// The window of the bound.
constexpr base::duration bound_window = 1s;
/// Part of the bound that one daemon may start within a second before it prefers other servers. With a third,
/// three such daemons exceed the bound; a tenth sends a quarter of the requests for a part that is used 1.2
/// times a second away from the server that has cached it, a fifth 3 percent.
constexpr double usual_part = 0.2;
constexpr std::size_t min_usual_starts = 2;
constexpr std::size_t max_recent_starts = 64;
/// Longer than any warm-up, which bounds it.
constexpr base::duration whole_warmup = 24h;

constexpr std::array<std::string_view, cold_source_count> source_names{"entry", "first_seen", "response",
                                                                       "unreachable", "zone_returned"};

}  // namespace

const catalog::warmup* warmup_table::warmup_of(const server_state& s) const {
    const auto it = bounds_ ? services_.find(s.service) : services_.end();
    return it == services_.end() ? nullptr : &it->second;
}

base::time_point warmup_table::cold_until(const statement& s, const catalog::warmup& w) {
    return s.made_at + std::min(s.remaining, w.duration);
}

base::duration warmup_table::remaining(const server_state& s, base::time_point now) const {
    const auto* w = warmup_of(s);
    base::duration longest{};
    for (const auto& x : s.statements) {
        longest = std::max(longest, w == nullptr ? base::duration{} : cold_until(x, *w) - now);
    }
    return longest;
}

void warmup_table::state(server_state& s, cold_source source, base::duration remaining,
                         base::time_point now) {
    s.statements.at(static_cast<std::size_t>(source)) = {.made_at = now, .remaining = remaining};
}

void warmup_table::read_entry(server_state& s, const catalog::backend_server& entry, bool first_seen,
                              base::time_point now) {
    const bool written_again =
        first_seen || s.entry_revision != entry.entry_revision || s.entry_remaining != entry.remaining_warmup;
    s.service = entry.service;
    s.zone = entry.zone;
    s.entry_revision = entry.entry_revision;
    s.entry_remaining = entry.remaining_warmup;
    if (written_again) {
        state(s, cold_source::entry, entry.remaining_warmup, now);
    }
}

void warmup_table::set_servers(const std::vector<catalog::backend_server>& servers, base::time_point now) {
    for (auto& [key, s] : servers_) {
        s.listed = false;
    }
    for (const auto& entry : servers) {
        auto [it, added] = servers_.try_emplace(key_of(entry));
        auto& s = it->second;
        read_entry(s, entry, added, now);
        if (added && list_read_ && entry.remaining_warmup <= base::duration{}) {
            // An entry may be written before the server knows how long it stays cold.
            state(s, cold_source::first_seen, whole_warmup, now);
        }
        s.listed = true;
        s.last_listed = now;
    }
    list_read_ = true;
    forget_unlisted(now);
}

void warmup_table::forget_unlisted(base::time_point now) {
    std::erase_if(servers_, [now](const auto& entry) {
        return !entry.second.listed && now - entry.second.last_listed > instance_memory;
    });
    while (servers_.size() > max_instances) {
        const auto oldest =
            std::min_element(servers_.begin(), servers_.end(), [](const auto& a, const auto& b) {
                return std::pair{a.second.listed, a.second.last_listed} <
                       std::pair{b.second.listed, b.second.last_listed};
            });
        if (oldest->second.listed) {
            return;
        }
        servers_.erase(oldest);
    }
}

void warmup_table::record_response(server_key server, base::duration remaining, base::time_point now) {
    if (const auto it = servers_.find(server); it != servers_.end()) {
        state(it->second, cold_source::response, remaining, now);
    }
}

void warmup_table::record_unreachable(server_key server, base::time_point now) {
    if (const auto it = servers_.find(server); it != servers_.end()) {
        state(it->second, cold_source::unreachable, whole_warmup, now);
    }
}

void warmup_table::record_zone_returned(const base::zone_id& zone, base::time_point now) {
    for (auto& [key, s] : servers_) {
        if (s.zone == zone) {
            state(s, cold_source::zone_returned, whole_warmup, now);
        }
    }
}

void warmup_table::update_part(server_key key, server_state& s, const demand_table& demands,
                               base::time_point now) {
    const bool first = !s.own.has_value();
    const auto settle_time = demands.parameters().settle_time;
    const auto known_from = demands.started_at() + std::max(settle_time, min_start_delay);
    const auto place = demands.place(key, s.zone, now);
    auto& p = first ? s.own.emplace() : *s.own;
    p.division = divide_warmup(*warmup_of(s), *bounds_, place.daemons);
    if (!place.rank || *place.rank >= p.division.senders) {
        p.usable_from.reset();
    } else if (!p.usable_from) {
        // All daemons divide a server that becomes cold at the same time. Later, the daemon that had this
        // part may not have noticed yet that it is this one's now.
        p.usable_from = first ? known_from : std::max(known_from, now + settle_time);
    }
}

void warmup_table::refresh(const demand_table& demands, base::time_point now,
                           const std::function<void(server_key)>& found) {
    for (auto& [key, s] : servers_) {
        if (!s.listed || remaining(s, now) <= base::duration{}) {
            s.own.reset();
            continue;
        }
        const bool was_known = s.own.has_value();
        update_part(key, s, demands, now);
        if (!was_known && found) {
            found(key);
        }
    }
}

base::duration warmup_table::remaining(server_key server, base::time_point now) const {
    const auto it = bounds_ ? servers_.find(server) : servers_.end();
    return it == servers_.end() ? base::duration{} : remaining(it->second, now);
}

const warmup_table::server_state* warmup_table::find_cold(server_key server, base::time_point now) const {
    const auto it = bounds_ ? servers_.find(server) : servers_.end();
    const bool cold = it != servers_.end() && it->second.own && remaining(it->second, now) > base::duration{};
    return cold ? &it->second : nullptr;
}

bool warmup_table::may_start(server_key server, base::time_point now) const {
    const auto* s = find_cold(server, now);
    if (s == nullptr) {
        return true;
    }
    const bool rested = s->recent_starts.empty() || now - s->recent_starts.back() >= s->own->division.gap;
    return s->own->usable_from && now >= *s->own->usable_from && rested;
}

bool warmup_table::crowded(server_key server, base::time_point now) const {
    const auto it = bounds_ ? servers_.find(server) : servers_.end();
    const auto* w = it == servers_.end() ? nullptr : warmup_of(it->second);
    if (w == nullptr) {
        return false;
    }
    const auto& starts = it->second.recent_starts;
    const auto recent = starts.end() - std::upper_bound(starts.begin(), starts.end(), now - bound_window);
    const double usual = usual_part * (w->requests_per_s * bounds_->overage + bounds_->slack);
    return static_cast<double>(recent) >= std::max<double>(min_usual_starts, std::floor(usual));
}

void warmup_table::record_start(server_key server, base::time_point now) {
    const auto it = servers_.find(server);
    if (it == servers_.end()) {
        return;
    }
    auto& starts = it->second.recent_starts;
    while (!starts.empty() && (starts.front() <= now - bound_window || starts.size() >= max_recent_starts)) {
        starts.pop_front();
    }
    starts.push_back(now);
}

std::optional<warmup_forecast> warmup_table::forecast(server_key server, base::time_point now) const {
    const auto* s = find_cold(server, now);
    if (s == nullptr) {
        return std::nullopt;
    }
    warmup_forecast f{.remaining = remaining(*s, now)};
    f.first = f.remaining;
    if (s->own->usable_from) {
        const auto rested_at =
            s->recent_starts.empty() ? now : s->recent_starts.back() + s->own->division.gap;
        const auto next = std::max(now, std::max(rested_at, *s->own->usable_from)) - now;
        if (next < f.remaining) {
            f.first = next;
            f.rate = s->own->division.starts_per_s();
        }
    }
    return f;
}

std::optional<double> warmup_table::limit(server_key server, base::time_point now) const {
    const auto* s = find_cold(server, now);
    if (s == nullptr) {
        return std::nullopt;
    }
    const auto& d = s->own->division;
    return static_cast<double>(d.senders) * d.starts_per_s();
}

std::vector<server_key> warmup_table::cold_servers(base::time_point now) const {
    std::vector<server_key> out;
    for (const auto& [key, s] : servers_) {
        if (s.own && remaining(s, now) > base::duration{}) {
            out.push_back(key);
        }
    }
    return out;
}

void warmup_table::describe(server_key server, server_status& out, base::time_point now) const {
    const auto* s = find_cold(server, now);
    if (s == nullptr) {
        return;
    }
    const auto* w = warmup_of(*s);
    const auto latest =
        std::max_element(s->statements.begin(), s->statements.end(),
                         [w](const auto& a, const auto& b) { return cold_until(a, *w) < cold_until(b, *w); });
    out.cold = remaining(*s, now);
    out.cold_limit = limit(server, now).value_or(0);
    out.cold_share = s->own->usable_from ? s->own->division.starts_per_s() : 0;
    out.cold_daemons = s->own->division.senders;
    out.cold_source = source_names.at(static_cast<std::size_t>(latest - s->statements.begin()));
}

}  // namespace chicorygap::backpressure
