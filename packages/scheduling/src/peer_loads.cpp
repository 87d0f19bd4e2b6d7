#include "peer_loads.h"

#include "server_state.h"

#include <algorithm>
#include <chrono>
#include <numeric>

namespace chicorygap::scheduling {

namespace {

/// @param remaining fraction of the reported prefill queue that still exists.
void add_peer_load(server_state& s, const server_load& l, double remaining) {
    s.peer_load.running += l.running;
    s.peer_load.kv_cache_tokens += l.kv_cache_tokens;
    s.peer_load.pending_prefill_tokens +=
        static_cast<std::int64_t>(remaining * static_cast<double>(l.pending_prefill_tokens));
    s.peer_load.prefill_tokens_per_s += l.prefill_tokens_per_s;
    s.unreported_prefill_tokens_per_s += (1 - remaining) * l.prefill_tokens_per_s;
}

}  // namespace

void peer_loads::set(const base::vm_id& peer, const load_report& r, base::time_point valid_until,
                     base::time_point now, const base::zone_id& zone) {
    reports_[peer] = {r, now, valid_until, zone};
}

void peer_loads::for_each(const std::function<void(const base::zone_id&, const load_report&)>& f) const {
    for (const auto& [peer, r] : reports_) {
        f(r.zone, r.load);
    }
}

void peer_loads::update_servers(const std::vector<server_state*>& servers, base::time_point now) {
    std::erase_if(reports_, [&](const auto& p) { return now > p.second.valid_until; });
    std::unordered_map<base::backend_server_id, server_state*> by_id;
    for (auto* s : servers) {
        s->peer_load = {};
        s->unreported_prefill_tokens_per_s = 0;
        by_id.emplace(s->info.id, s);
    }
    for (const auto& [peer, r] : reports_) {
        const double remaining = remaining_queue_fraction(now - r.received_at);
        for (const auto& l : r.load.servers) {
            const auto it = by_id.find(l.server);
            if (it == by_id.end()) {
                continue;
            }
            add_peer_load(*it->second, l, remaining);
            it->second->peer_load.queue_reported =
                it->second->peer_load.queue_reported ||
                (l.queue_reported && now - r.received_at <= queue_report_lifetime_);
        }
    }
}

base::duration peer_loads::mean_age(base::time_point now) const {
    if (reports_.empty()) {
        return {};
    }
    const auto sum = std::accumulate(
        reports_.begin(), reports_.end(), base::duration{},
        [now](base::duration total, const auto& p) { return total + (now - p.second.received_at); });
    return sum / static_cast<int>(reports_.size());
}

bool peer_loads::token_gaps_exceeded() const {
    return std::any_of(reports_.begin(), reports_.end(),
                       [](const auto& p) { return p.second.load.token_gaps_exceeded; });
}

std::uint32_t peer_loads::short_prompt_streams() const {
    return std::accumulate(
        reports_.begin(), reports_.end(), std::uint32_t{0},
        [](std::uint32_t sum, const auto& p) { return sum + p.second.load.short_prompt_streams; });
}

std::size_t peer_loads::waiting() const {
    return std::accumulate(reports_.begin(), reports_.end(), std::size_t{0},
                           [](std::size_t sum, const auto& p) { return sum + p.second.load.waiting; });
}

double peer_loads::median_prefill_tokens_per_ms(double local) const {
    std::vector<double> speeds;
    if (local > 0) {
        speeds.push_back(local);
    }
    for (const auto& [peer, r] : reports_) {
        if (r.load.prefill_tokens_per_ms > 0) {
            speeds.push_back(r.load.prefill_tokens_per_ms);
        }
    }
    const auto median = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
    std::nth_element(speeds.begin(), median, speeds.end());
    return speeds.empty() ? 0 : *median;
}

}  // namespace chicorygap::scheduling
