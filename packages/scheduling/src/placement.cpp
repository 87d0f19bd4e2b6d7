#include "placement.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <map>
#include <utility>

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
/// Cost of a server of the other part: a long prompt beside streams, or a stream beside long prompts. The
/// pause that follows makes a stream late, which weighs as much as a late first token.
constexpr double other_part_ms = 400;
/// Cost for a stream of a server that is among the next to read long prompts when there are more of them.
constexpr double border_ms = 4;
/// Random part of the cost for each other daemon: about the time of the prompts that one of them adds between
/// two reports; at most about the cost of a full server.
constexpr double spread_per_peer_ms = 0.25;
constexpr double most_spread_ms = 8;
/// One place is left for so many other daemons, up to this part of a server's slots.
constexpr std::size_t peers_per_place = 20;
constexpr std::uint32_t most_unseen_part = 4;
/// Cost of a request on a server that may be taken away, when the request could not go on elsewhere.
constexpr double reclaimable_ms = 15;
/// Expected presence of a shared part on its home and the home's successors.
constexpr std::array<double, 3> home_presence{1.0, 0.5, 0.25};
/// Cost of a shared token that is read once more than needed, relative to the time of reading it: the copy
/// takes memory from other parts, which are read again later.
constexpr double repeated_read_weight = 1;
/// Time to set up a copy between two servers.
constexpr double copy_setup_ms = 4;
/// Cost of a copy beyond its time: it takes memory of a second server from parts that are read again later,
/// and the home may have lost the part.
constexpr double copy_ms = 60;
/// A server that is listed for this long has read the parts whose home it is.
constexpr base::duration settled_time = std::chrono::seconds{8};
/// With fewer measurements a server counts as fast as the others.
constexpr int least_speed_samples = 4;
/// A server counts as at most so busy, so that the expected wait stays finite.
constexpr double most_utilisation = 0.95;
/// Cost of a server that reads prompts all the time for a stream whose pauses are bounded.
constexpr double interruption_ms = 100;

/// Servers that are expected to keep the shared part of a prompt.
struct homes {
    /// The home and its successors, null where there are fewer servers.
    std::array<const server_state*, home_presence.size()> ranked{};
    /// The home among the servers that had time to read the part; null if there is none.
    const server_state* settled = nullptr;

    [[nodiscard]] std::optional<std::size_t> rank(const server_state& s) const {
        const auto it = std::find(ranked.begin(), ranked.end(), &s);
        return it == ranked.end() ? std::nullopt
                                  : std::optional{static_cast<std::size_t>(it - ranked.begin())};
    }
};

/// Part that decides where a prompt is kept: the last one that other requests may share.
std::uint64_t shared_part(const std::vector<prefix_part>& parts) {
    return parts.size() >= 2 ? parts[parts.size() - 2].id : parts.empty() ? 0 : parts.front().id;
}

/// @return tokens of the parts that other requests may share.
std::int64_t shared_tokens(const std::vector<prefix_part>& parts) {
    std::int64_t sum = 0;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        sum += parts[i].tokens;
    }
    return sum;
}

/// The same number for every daemon, so that they prefer the same server without talking.
std::uint64_t preference(std::uint64_t part, const server_state& s) {
    const std::array<std::uint64_t, 2> key{part, s.id_hash};
    return XXH64(key.data(), sizeof(key), 0);
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
    return part * std::min(spread_per_peer_ms * static_cast<double>(c.peers), most_spread_ms);
}

bool reads_long_prompts(const server_state& s, const placement_context& c) {
    return s.position < c.long_prompt_share;
}

homes homes_of(const scheduled_request& w, const std::vector<server_state*>& candidates,
               const placement_context& c, base::time_point now) {
    homes h;
    std::array<std::uint64_t, home_presence.size()> values{};
    std::uint64_t settled_value = 0;
    const auto part = shared_part(w.generation->parts);
    for (const auto* s : candidates) {
        const bool own_part = c.long_prompt_share <= 0 || is_long(w, c) == reads_long_prompts(*s, c);
        if (!own_part || s->health.ejected(now)) {
            continue;
        }
        auto value = preference(part, *s);
        // A server that is leaving still has what it read.
        if (now - s->since >= settled_time && (h.settled == nullptr || value > settled_value)) {
            h.settled = s;
            settled_value = value;
        }
        const auto* here = s->info.draining ? nullptr : s;
        for (std::size_t i = 0; i < values.size() && here != nullptr; ++i) {
            if (h.ranked[i] == nullptr || value > values[i]) {
                std::swap(h.ranked[i], here);
                std::swap(values[i], value);
            }
        }
    }
    return h;
}

/// @return the server from which another one may copy the shared part, or null.
const server_state* source_for(const server_state& s, const homes& h, const placement_context& c) {
    if (!c.engine || !c.engine->supports_kv_transfer()) {
        return nullptr;
    }
    const auto* source = h.settled != nullptr ? h.settled : h.ranked.front();
    return source == &s ? nullptr : source;
}

/// @return time to copy the tokens to the server.
double copy_time_ms(const server_state& s, const server_state& source, std::int64_t tokens,
                    const placement_context& c) {
    const auto bytes = static_cast<double>(tokens * c.engine->kv_bytes_per_token);
    // Zones are connected by slower links.
    const double distance = s.info.zone == source.info.zone ? 1 : 2;
    return copy_setup_ms + distance * bytes / c.engine->link_bytes_per_ms;
}

/// @return tokens of the prompt that the server is expected to keep.
std::int64_t kept_tokens(const server_state& s, const scheduled_request& w, const homes& h) {
    const auto& parts = w.generation->parts;
    auto kept = s.cache.cached_tokens(parts);
    // With two shared parts or more the first one is common: requests of many kinds bring it everywhere.
    if (parts.size() >= 3) {
        kept = std::max(kept, parts.front().tokens);
    }
    if (const auto rank = h.rank(s)) {
        const double presence = home_presence[*rank];
        const double expected = presence * static_cast<double>(shared_tokens(parts));
        kept = std::max(kept, static_cast<std::int64_t>(expected));
    }
    return std::min(kept, w.generation->prompt_tokens);
}

bool has_place(const server_state& s, const scheduled_request& w, const placement_context& c) {
    const auto slots = c.engine ? std::min(c.engine->slots, s.info.slots) : s.info.slots;
    if (s.running() + unseen_places(slots, c.peers) >= slots) {
        return false;
    }
    if (!w.generation || !c.engine || s.running() == 0) {
        return true;
    }
    const auto memory =
        static_cast<std::int64_t>(usable_memory * static_cast<double>(c.engine->kv_capacity_tokens));
    return s.kv_cache_tokens() + w.generation->kv_cache_tokens() <= memory;
}

/// @return time until the server begins to read a new prompt.
double expected_wait_ms(const server_state& s, double utilisation, double speed, const placement_context& c) {
    const double seen = static_cast<double>(s.pending_prefill_tokens()) / speed;
    const double unseen = s.unseen_tokens_per_s / (speed * 1000);
    return seen + c.tokens_per_prompt / speed * unseen / (1 - utilisation);
}

/// What a server has to do for a prompt before its first token.
struct preparation {
    std::int64_t prefill_tokens = 0;   ///< to be read
    std::int64_t repeated_tokens = 0;  ///< of these, kept by another server
    std::int64_t copied_tokens = 0;
    const server_state* source = nullptr;
};

preparation prepare(const server_state& s, const scheduled_request& w, const homes& h,
                    const placement_context& c) {
    const auto kept = kept_tokens(s, w, h);
    preparation p{.prefill_tokens = w.generation->prompt_tokens - kept, .source = source_for(s, h, c)};
    const auto missing = std::max<std::int64_t>(0, shared_tokens(w.generation->parts) - kept);
    if (p.source != nullptr) {
        p.copied_tokens = missing;
        p.prefill_tokens -= missing;
    } else {
        p.repeated_tokens = missing;
    }
    return p;
}

double expected_ms(const server_state& s, const scheduled_request& w, const preparation& p,
                   const placement_context& c, base::time_point now) {
    double ms = (s.info.zone == c.zone ? 0 : other_zone_ms) + spread_ms(c);
    if (!w.generation) {
        return ms + plain_slot_ms * s.running();
    }
    if (c.long_prompt_share > 0 && is_long(w, c) != reads_long_prompts(s, c)) {
        ms += other_part_ms;
    }
    ms += c.long_prompt_share > 0 && !is_long(w, c) ? border_ms * (1 - s.position) : 0;
    const double speed = s.prefill_tokens_per_ms.samples() >= least_speed_samples
                             ? s.prefill_tokens_per_ms.value()
                             : c.prefill_tokens_per_ms;
    const double utilisation = std::min(s.prefill_tokens_per_s(now) / (speed * 1000), most_utilisation);
    ms += expected_wait_ms(s, utilisation, speed, c);
    ms += (static_cast<double>(p.prefill_tokens) +
           repeated_read_weight * static_cast<double>(p.repeated_tokens)) /
          speed;
    ms += p.copied_tokens > 0 ? copy_ms + copy_time_ms(s, *p.source, p.copied_tokens, c) : 0;
    ms += w.generation->max_token_gap && !is_long(w, c) ? interruption_ms * utilisation * utilisation : 0;
    ms += running_ms * s.running();
    ms += s.info.reclaimable && !w.idempotent ? reclaimable_ms : 0;
    return ms;
}

}  // namespace

bool is_long(const scheduled_request& w, const placement_context& c) {
    return c.long_prompt_tokens > 0 && w.generation && w.generation->prompt_tokens >= c.long_prompt_tokens;
}

void assign_positions(const std::vector<server_state*>& servers) {
    std::map<base::zone_id, std::vector<server_state*>> by_zone;
    for (auto* s : servers) {
        if (!s->info.draining) {
            by_zone[s->info.zone].push_back(s);
        }
    }
    for (auto& [zone, list] : by_zone) {
        std::sort(list.begin(), list.end(),
                  [](const auto* a, const auto* b) { return preference(0, *a) < preference(0, *b); });
        for (std::size_t i = 0; i < list.size(); ++i) {
            list[i]->position = (static_cast<double>(i) + 0.5) / static_cast<double>(list.size());
        }
    }
}

std::optional<placement> choose_server(const scheduled_request& w,
                                       const std::vector<server_state*>& candidates,
                                       const placement_context& c, base::time_point now) {
    const auto h = w.generation ? homes_of(w, candidates, c, now) : homes{};
    std::optional<placement> best;
    double best_ms = std::numeric_limits<double>::infinity();
    for (auto* s : candidates) {
        if (s->info.draining || s->health.ejected(now) || s->has_queue(now) || !has_place(*s, w, c)) {
            continue;
        }
        const auto p = w.generation ? prepare(*s, w, h, c) : preparation{};
        const double ms = expected_ms(*s, w, p, c, now);
        if (ms < best_ms) {
            best_ms = ms;
            best = placement{s, p.prefill_tokens, p.source, h.rank(*s), is_long(w, c)};
        }
    }
    return best;
}

}  // namespace chicorygap::scheduling
