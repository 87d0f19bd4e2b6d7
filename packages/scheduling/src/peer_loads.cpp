#include "peer_loads.h"

#include "server_state.h"

#include <algorithm>
#include <chrono>
#include <numeric>

namespace chicorygap::scheduling {

namespace {

/// A peer's word that requests queue at a server counts for this long.
constexpr base::duration queue_time = std::chrono::milliseconds{400};

/// @param fresh part of the reported queue that is still there.
void add(server_state& s, const server_load& l, double fresh) {
    s.peers.running += l.running;
    s.peers.kv_cache_tokens += l.kv_cache_tokens;
    s.peers.pending_prefill_tokens +=
        static_cast<std::int64_t>(fresh * static_cast<double>(l.pending_prefill_tokens));
    s.peers.prefill_tokens_per_s += l.prefill_tokens_per_s;
    s.unseen_tokens_per_s += (1 - fresh) * l.prefill_tokens_per_s;
}

}  // namespace

void peer_loads::set(const base::vm_id& peer, const load_report& r, base::time_point valid_until,
                     base::time_point now) {
    reports_[peer] = {r, now, valid_until};
}

void peer_loads::apply(const std::vector<server_state*>& servers, base::time_point now) {
    std::erase_if(reports_, [&](const auto& p) { return now > p.second.valid_until; });
    std::unordered_map<base::backend_server_id, server_state*> by_id;
    for (auto* s : servers) {
        s->peers = {};
        s->unseen_tokens_per_s = 0;
        by_id.emplace(s->info.id, s);
    }
    for (const auto& [peer, r] : reports_) {
        const double fresh = remaining_queue_fraction(now - r.heard);
        for (const auto& l : r.load.servers) {
            const auto it = by_id.find(l.server);
            if (it == by_id.end()) {
                continue;
            }
            add(*it->second, l, fresh);
            it->second->peers.queue_reported =
                it->second->peers.queue_reported || (l.queue_reported && now - r.heard <= queue_time);
        }
    }
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

double peer_loads::agreed_speed(double own) const {
    std::vector<double> speeds;
    if (own > 0) {
        speeds.push_back(own);
    }
    for (const auto& [peer, r] : reports_) {
        if (r.load.prefill_tokens_per_ms > 0) {
            speeds.push_back(r.load.prefill_tokens_per_ms);
        }
    }
    const auto middle = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
    std::nth_element(speeds.begin(), middle, speeds.end());
    return speeds.empty() ? 0 : *middle;
}

}  // namespace chicorygap::scheduling
