#include "placement.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <map>

namespace chicorygap::scheduling {

namespace {

/// Part of a server's memory that is given out: outputs may be longer than expected.
constexpr double usable_memory = 0.92;
/// Cost of another zone in milliseconds of expected time: twice the way between zones, and bytes that are
/// charged.
constexpr double other_zone_ms = 6;
/// Cost of one request that runs already: each step takes longer for all of them.
constexpr double running_ms = 0.5;
/// Weight of the load of a plain server against other costs, per slot in use.
constexpr double plain_slot_ms = 4;
/// Share of a prompt that the preferred server is expected to keep although this daemon did not send it
/// there: the others choose the same server for it.
constexpr double preferred_share = 0.6;
/// Cost of a server of the other part: a long prompt beside streams, or a stream beside long prompts.
constexpr double other_part_ms = 60;
/// Random part of the cost for each other daemon: about the time of the prompts that one of them adds between
/// two reports.
constexpr double spread_per_peer_ms = 0.25;
/// One place is left for so many other daemons, up to this part of a server's slots.
constexpr std::size_t peers_per_place = 20;
constexpr std::uint32_t most_unseen_part = 4;
/// Cost of a request on a server that may be taken away, when the request could not go on elsewhere.
constexpr double reclaimable_ms = 15;

/// Part that decides where a prompt is kept: the last one that other requests may share.
std::uint64_t shared_part(const std::vector<prefix_part>& parts) {
    return parts.size() >= 2 ? parts[parts.size() - 2].id : parts.empty() ? 0 : parts.front().id;
}

/// The same number for every daemon, so that they prefer the same server without talking.
std::uint64_t preference(std::uint64_t part, const std::string& server) {
    return XXH64(server.data(), server.size(), part);
}

/// Places that peers may have taken since they last reported.
std::uint32_t unseen_places(std::uint32_t slots, std::size_t peers) {
    return std::min<std::uint32_t>(slots / most_unseen_part,
                                   static_cast<std::uint32_t>(peers / peers_per_place));
}

/// Cost that differs between daemons, so that they do not all choose the same server at the same moment.
double spread_ms(const placement_context& c) {
    constexpr std::uint64_t steps = 1024;
    const double part = static_cast<double>(c.random() % steps) / static_cast<double>(steps);
    return part * spread_per_peer_ms * static_cast<double>(c.peers);
}

bool is_long(const work& w, const placement_context& c) {
    return c.long_prompt_tokens > 0 && w.terms && w.terms->prompt_tokens >= c.long_prompt_tokens;
}

bool reads_long_prompts(const server_state& s, const placement_context& c) {
    return s.position < c.long_prompt_share;
}

const server_state* preferred_server(const work& w, const std::vector<server_state*>& candidates,
                                     const placement_context& c) {
    const auto part = shared_part(w.terms->parts);
    const server_state* best = nullptr;
    std::uint64_t most = 0;
    for (const auto* s : candidates) {
        const bool own_part = c.long_prompt_share <= 0 || is_long(w, c) == reads_long_prompts(*s, c);
        const auto value = preference(part, s->info.id.str());
        if (own_part && !s->info.draining && (best == nullptr || value > most)) {
            best = s;
            most = value;
        }
    }
    return best;
}

bool has_place(const server_state& s, const work& w, const placement_context& c) {
    const auto slots = c.engine ? std::min(c.engine->slots, s.info.slots) : s.info.slots;
    if (s.running() + unseen_places(slots, c.peers) >= slots) {
        return false;
    }
    if (!w.terms || !c.engine || s.running() == 0) {
        return true;
    }
    const auto memory =
        static_cast<std::int64_t>(usable_memory * static_cast<double>(c.engine->memory_tokens));
    return s.memory_tokens() + w.terms->memory_tokens() <= memory;
}

double expected_ms(const server_state& s, const work& w, std::int64_t unread, const placement_context& c) {
    double ms = (s.info.zone == c.zone ? 0 : other_zone_ms) + spread_ms(c);
    if (!w.terms) {
        return ms + plain_slot_ms * s.running();
    }
    if (c.long_prompt_share > 0 && is_long(w, c) != reads_long_prompts(s, c)) {
        ms += other_part_ms;
    }
    const double speed = s.tokens_per_ms > 0 ? s.tokens_per_ms : c.tokens_per_ms;
    ms += static_cast<double>(s.unread_tokens() + unread) / speed;
    ms += running_ms * s.running();
    ms += s.info.reclaimable && !w.repeatable ? reclaimable_ms : 0;
    return ms;
}

}  // namespace

void assign_positions(const std::vector<server_state*>& servers) {
    std::map<base::zone_id, std::vector<server_state*>> by_zone;
    for (auto* s : servers) {
        if (!s->info.draining) {
            by_zone[s->info.zone].push_back(s);
        }
    }
    for (auto& [zone, list] : by_zone) {
        std::sort(list.begin(), list.end(), [](const auto* a, const auto* b) {
            return preference(0, a->info.id.str()) < preference(0, b->info.id.str());
        });
        for (std::size_t i = 0; i < list.size(); ++i) {
            list[i]->position = (static_cast<double>(i) + 0.5) / static_cast<double>(list.size());
        }
    }
}

std::optional<placement> choose_server(const work& w, const std::vector<server_state*>& candidates,
                                       const placement_context& c, base::time_point now) {
    const auto* preferred = w.terms ? preferred_server(w, candidates, c) : nullptr;
    std::optional<placement> best;
    double best_ms = std::numeric_limits<double>::infinity();
    for (auto* s : candidates) {
        if (s->info.draining || s->health.ejected(now) || !has_place(*s, w, c)) {
            continue;
        }
        std::int64_t unread = 0;
        if (w.terms) {
            auto kept = s->cache.cached_tokens(w.terms->parts);
            if (s == preferred) {
                const auto likely = preferred_share * static_cast<double>(w.terms->prompt_tokens);
                kept = std::max(kept, static_cast<std::int64_t>(likely));
            }
            unread = std::max<std::int64_t>(0, w.terms->prompt_tokens - kept);
        }
        const double ms = expected_ms(*s, w, unread, c);
        if (ms < best_ms) {
            best_ms = ms;
            best = placement{s, unread};
        }
    }
    return best;
}

}  // namespace chicorygap::scheduling
