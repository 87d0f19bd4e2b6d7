#include "placement.h"

#include "backpressure/signal_table.h"
#include "zone_return.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <limits>
#include <map>
#include <utility>

namespace chicorygap::scheduling {

namespace {

/// Fraction of a server's KV cache that is allocated; outputs may be longer than expected.
constexpr double usable_kv_cache_fraction = 0.92;
/// Cost of a server in another zone: the round trip between zones and the charge for the traffic. With a
/// price of the bytes `choose_in_zones` compares the zones instead.
constexpr double cross_zone_cost_ms = 6;
/// Cost for each running request on the server: each of them makes the steps of the batch longer.
constexpr double running_request_cost_ms = 0.5;
/// Cost for each used slot of a server of a plain service.
constexpr double used_slot_cost_ms = 4;
/// Cost of placing a long prompt on a server for streams or a stream on a server for long prompts. A stream
/// then exceeds its token gap limit, which counts as much as a late first token.
constexpr double wrong_group_cost_ms = 400;
/// Maximum cost for a stream of a server near the long prompt group, which such servers join first when the
/// group grows.
constexpr double group_boundary_cost_ms = 4;
/// Requests for each slot of a plain server on a shared machine, running and waiting. With only one, a slot
/// that becomes free stays idle until the next beacon tells of it, longer than a request takes.
constexpr std::uint32_t plain_requests_per_slot = 3;
/// Random cost per other daemon, about the prefill time that one daemon adds between two reports, and its
/// upper bound, about the cost of a fully used server.
constexpr double jitter_per_peer_ms = 0.25;
constexpr double max_jitter_ms = 8;
/// One slot is reserved per this number of other daemons, up to the slots of the server divided by the
/// divisor.
constexpr std::size_t peers_per_reserved_slot = 20;
constexpr std::uint32_t max_reserved_slots_divisor = 4;
/// Cost of a reclaimable server for a request that cannot be repeated on another one.
constexpr double reclaimable_cost_ms = 15;
/// Cost of a cold server, which is slower than others: about the prefill of a short prompt. It looks idle to
/// all daemons at the same time.
constexpr double cold_server_cost_ms = 25;
/// Fraction of a shared part that is expected in the cache of each of its affinity servers, by rank.
constexpr std::array<double, 3> affinity_cached_fraction{1.0, 0.5, 0.25};
/// Additional cost of a shared token that another server has cached, relative to its prefill time: the
/// duplicate evicts other parts, which have to be processed again later.
constexpr double duplicate_prefill_weight = 1;
/// Time to set up a KV transfer between two servers.
constexpr double kv_transfer_setup_ms = 4;
/// Cost of a KV transfer besides its duration: the duplicate evicts other parts, which have to be processed
/// again later, and the source may have evicted the part.
constexpr double kv_transfer_cost_ms = 60;
/// Time in the server list after which a server has cached the parts that prefer it.
constexpr base::duration cache_warmup_time = std::chrono::seconds{8};
/// With fewer measurements of a server the speed of the whole fleet is used.
constexpr int min_speed_samples = 4;
/// Upper bound of the utilisation, which keeps the expected wait finite.
constexpr double max_utilisation = 0.95;
/// Cost of a server with continuous prefill for a stream with a token gap limit.
constexpr double interruption_cost_ms = 100;

/// Servers that are expected to have cached the shared part of a prompt.
struct affinity_servers {
    /// Affinity servers in descending rendezvous weight; null where there are fewer servers.
    std::array<const server_state*, affinity_cached_fraction.size()> ranked{};
    /// Server with the highest weight among those that have been listed long enough to have cached the part;
    /// null if there is none.
    const server_state* warm = nullptr;

    [[nodiscard]] std::optional<std::size_t> rank(const server_state& s) const {
        const auto it = std::find(ranked.begin(), ranked.end(), &s);
        return it == ranked.end() ? std::nullopt
                                  : std::optional{static_cast<std::size_t>(it - ranked.begin())};
    }
};

/// @return id of the part that determines the affinity servers: the last one that other requests may share.
std::uint64_t affinity_part_id(const std::vector<prefix_part>& parts) {
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

/// @return weight of the server for rendezvous hashing, equal on all daemons without communication.
std::uint64_t rendezvous_weight(std::uint64_t part, const server_state& s) {
    const std::array<std::uint64_t, 2> key{part, s.id_hash};
    return XXH64(key.data(), sizeof(key), 0);
}

/// @return slots that peers may have used since their last reports.
std::uint32_t reserved_slots(std::uint32_t slots, std::size_t peer_count) {
    return std::min<std::uint32_t>(slots / max_reserved_slots_divisor,
                                   static_cast<std::uint32_t>(peer_count / peers_per_reserved_slot));
}

/// @return random cost, which keeps daemons from selecting the same server at the same time.
double cost_jitter_ms(const scheduled_request& request, const placement_context& c) {
    constexpr std::uint64_t steps = 1024;
    const auto fraction = [&] {
        return (static_cast<double>(c.random() % steps) + 0.5) / static_cast<double>(steps);
    };
    double ms = fraction() * std::min(jitter_per_peer_ms * static_cast<double>(c.peer_count), max_jitter_ms);
    // Requests with long shared parts keep to the few servers that have cached them.
    const double cached_prefill_ms =
        request.generation
            ? static_cast<double>(shared_tokens(request.generation->parts)) / c.prefill_tokens_per_ms
            : 0;
    if (c.stale_load_spread_ms > 0 && cached_prefill_ms < c.stale_load_spread_ms) {
        // A Gumbel variate: the server with the lowest cost gets a larger share of the requests, but not all.
        ms += c.stale_load_spread_ms * std::log(-std::log(fraction()));
    }
    return ms;
}

bool in_long_prompt_group(const server_state& s, const placement_context& c) {
    return s.zone_position < c.long_prompt_server_fraction;
}

affinity_servers find_affinity_servers(const scheduled_request& request,
                                       const std::vector<server_state*>& candidates,
                                       const placement_context& c, base::time_point now) {
    affinity_servers affinity;
    std::array<std::uint64_t, affinity_cached_fraction.size()> weights{};
    std::uint64_t warm_weight = 0;
    const auto part = affinity_part_id(request.generation->parts);
    for (const auto* s : candidates) {
        const bool in_group =
            c.long_prompt_server_fraction <= 0 || is_long_prompt(request, c) == in_long_prompt_group(*s, c);
        // The cache of an evacuated server is no source either: a KV transfer is work.
        if (!in_group || s->info.evacuated || s->health.ejected(now)) {
            continue;
        }
        auto weight = rendezvous_weight(part, *s);
        // A draining server still has its cache.
        if (now - s->listed_since >= cache_warmup_time &&
            (affinity.warm == nullptr || weight > warm_weight)) {
            affinity.warm = s;
            warm_weight = weight;
        }
        const auto* candidate = s->info.draining ? nullptr : s;
        for (std::size_t i = 0; i < weights.size() && candidate != nullptr; ++i) {
            if (affinity.ranked[i] == nullptr || weight > weights[i]) {
                std::swap(affinity.ranked[i], candidate);
                std::swap(weights[i], weight);
            }
        }
    }
    return affinity;
}

/// @return server from which `s` may get the shared parts by KV transfer, or null.
const server_state* find_kv_transfer_source(const server_state& s, const affinity_servers& affinity,
                                            const placement_context& c) {
    if (!c.engine || !c.engine->supports_kv_transfer()) {
        return nullptr;
    }
    const auto* source = affinity.warm != nullptr ? affinity.warm : affinity.ranked.front();
    return source == &s ? nullptr : source;
}

/// @return expected duration of the KV transfer of the tokens.
double kv_transfer_time_ms(const server_state& s, const server_state& source, std::int64_t tokens,
                           const placement_context& c) {
    const auto bytes = static_cast<double>(tokens * c.engine->kv_bytes_per_token);
    // Links between zones are slower.
    const double distance_factor = s.info.zone == source.info.zone ? 1 : 2;
    return kv_transfer_setup_ms + distance_factor * bytes / c.engine->link_bytes_per_ms;
}

/// @return prompt tokens that are expected in the cache of the server.
std::int64_t expected_cached_tokens(const server_state& s, const scheduled_request& request,
                                    const affinity_servers& affinity) {
    const auto& parts = request.generation->parts;
    auto cached = s.cache.cached_tokens(parts);
    // With two or more shared parts the first one is common to many kinds of requests, so that every server
    // has it.
    if (parts.size() >= 3) {
        cached = std::max(cached, parts.front().tokens);
    }
    if (const auto rank = affinity.rank(s)) {
        const double cached_fraction = affinity_cached_fraction[*rank];
        const double expected = cached_fraction * static_cast<double>(shared_tokens(parts));
        cached = std::max(cached, static_cast<std::int64_t>(expected));
    }
    return std::min(cached, request.generation->prompt_tokens);
}

/// @return true if a plain server on a shared machine takes one more request. It may have a short queue of
/// its own: a place that becomes free is known to the daemons only after a beacon interval, in which such a
/// server works off several requests.
bool plain_server_has_room(const server_state& s, const placement_context& c, base::time_point now) {
    return !s.shared.full(now) && present_requests(s, c, now) < plain_requests_per_slot * s.info.slots;
}

bool has_capacity(const server_state& s, const scheduled_request& request, const placement_context& c,
                  base::time_point now) {
    if (c.times != nullptr && !request.generation) {
        return plain_server_has_room(s, c, now);
    }
    const auto all_slots = c.engine ? std::min(c.engine->slots, s.info.slots) : s.info.slots;
    const auto slots =
        s.info.returned_at ? zone_return{s.info.returned_at}.usable_slots(all_slots, now) : all_slots;
    const auto running = present_requests(s, c, now);
    if (running + reserved_slots(slots, c.peer_count) >= slots ||
        (c.times != nullptr && s.shared.full(now))) {
        return false;
    }
    if (!request.generation || !c.engine || running == 0) {
        return true;
    }
    const auto usable_tokens = static_cast<std::int64_t>(usable_kv_cache_fraction *
                                                         static_cast<double>(c.engine->kv_capacity_tokens));
    const auto own_tokens = request.generation->kv_cache_tokens();
    return present_kv_cache_tokens(s, own_tokens, c, now) + own_tokens <= usable_tokens;
}

/// @return part of the time for which a first event is overdue that is expected to pass again for a new
/// prompt, which is processed after the overdue one.
base::duration scaled_overdue(base::duration overdue) {
    return overdue / 2;
}

/// @return time until the server starts the prefill of a new prompt.
double expected_wait_ms(const server_state& s, double utilisation, double speed, const placement_context& c) {
    const double reported = static_cast<double>(s.pending_prefill_tokens()) / speed;
    const double unreported = s.unreported_prefill_tokens_per_s / (speed * 1000);
    return reported + c.mean_prefill_tokens / speed * unreported / (1 - utilisation);
}

/// Work of a server before the first token of a request.
struct prefill_plan {
    std::int64_t prefill_tokens = 0;    ///< to be processed
    std::int64_t duplicate_tokens = 0;  ///< of these, expected in another server's cache
    std::int64_t transferred_tokens = 0;
    const server_state* kv_transfer_source = nullptr;
};

prefill_plan plan_prefill(const server_state& s, const scheduled_request& request,
                          const affinity_servers& affinity, const placement_context& c) {
    const auto cached = expected_cached_tokens(s, request, affinity);
    prefill_plan p{.prefill_tokens = request.generation->prompt_tokens - cached,
                   .kv_transfer_source = find_kv_transfer_source(s, affinity, c)};
    const auto missing = std::max<std::int64_t>(0, shared_tokens(request.generation->parts) - cached);
    if (p.kv_transfer_source != nullptr) {
        p.transferred_tokens = missing;
        p.prefill_tokens -= missing;
    } else {
        p.duplicate_tokens = missing;
    }
    return p;
}

/// @return prompt tokens per millisecond of the server.
double prefill_speed(const server_state& s, const placement_context& c, base::time_point now) {
    if (c.times != nullptr) {
        return present_prefill_speed(s, c, now);
    }
    return s.prefill_tokens_per_ms.samples() >= min_speed_samples ? s.prefill_tokens_per_ms.value()
                                                                  : c.prefill_tokens_per_ms;
}

double prefill_utilisation(const server_state& s, double speed, base::time_point now) {
    return std::min(s.prefill_tokens_per_s(now) / (speed * 1000), max_utilisation);
}

/// @return time until the server starts the prefill of a new prompt, with shared machines.
double present_wait_ms(const server_state& s, double utilisation, double speed, const placement_context& c) {
    const std::chrono::duration<double, std::milli> known =
        std::max(s.backlog.wait(), scaled_overdue(s.overdue));
    return std::max(expected_wait_ms(s, utilisation, speed, c), known.count());
}

/// @return expected times on the server, with shared machines.
service_estimate estimate_service(const server_state& s, const scheduled_request& request,
                                  const prefill_plan& p, const placement_context& c, base::time_point now) {
    if (!request.generation) {
        return estimate_plain_request(s, c, now);
    }
    const double speed = usual_prefill_speed(s, c);
    const double utilisation = prefill_utilisation(s, speed, now);
    prefill_work work{.wait_ms = present_wait_ms(s, utilisation, speed, c),
                      .prefill_tokens = p.prefill_tokens};
    if (p.transferred_tokens > 0) {
        work.kv_transfer_ms = kv_transfer_time_ms(s, *p.kv_transfer_source, p.transferred_tokens, c);
    }
    return estimate_generation(s, request, work, c, now);
}

double placement_cost_ms(const server_state& s, const scheduled_request& request, const prefill_plan& p,
                         const placement_context& c, base::time_point now) {
    double ms = (s.info.zone == c.zone ? 0 : cross_zone_cost_ms) + cost_jitter_ms(request, c);
    ms += c.signals != nullptr && c.signals->cold(s.signal_key, now) ? cold_server_cost_ms : 0;
    if (!request.generation) {
        return ms + (c.times != nullptr ? plain_server_cost_ms(s, c, now) : used_slot_cost_ms * s.running());
    }
    if (c.long_prompt_server_fraction > 0 && is_long_prompt(request, c) != in_long_prompt_group(s, c)) {
        ms += wrong_group_cost_ms;
    }
    ms += c.long_prompt_server_fraction > 0 && !is_long_prompt(request, c)
              ? group_boundary_cost_ms * (1 - s.zone_position)
              : 0;
    const double speed = prefill_speed(s, c, now);
    const double utilisation = prefill_utilisation(s, speed, now);
    ms += c.times != nullptr ? present_wait_ms(s, utilisation, speed, c)
                             : expected_wait_ms(s, utilisation, speed, c);
    ms += (static_cast<double>(p.prefill_tokens) +
           duplicate_prefill_weight * static_cast<double>(p.duplicate_tokens)) /
          speed;
    ms += p.transferred_tokens > 0
              ? kv_transfer_cost_ms + kv_transfer_time_ms(s, *p.kv_transfer_source, p.transferred_tokens, c)
              : 0;
    ms += request.generation->max_token_gap && !is_long_prompt(request, c)
              ? interruption_cost_ms * utilisation * utilisation
              : 0;
    ms += running_request_cost_ms * present_requests(s, c, now) *
          (c.times != nullptr ? s.shared.pace.time_factor(now) : 1);
    ms += s.info.reclaimable && !request.idempotent ? reclaimable_cost_ms : 0;
    return ms;
}

}  // namespace

bool is_long_prompt(const scheduled_request& request, const placement_context& c) {
    return c.min_long_prompt_tokens > 0 && request.generation &&
           request.generation->prompt_tokens >= c.min_long_prompt_tokens;
}

void assign_zone_positions(const std::vector<server_state*>& servers) {
    std::map<base::zone_id, std::vector<server_state*>> by_zone;
    for (auto* s : servers) {
        if (s->takes_requests()) {
            by_zone[s->info.zone].push_back(s);
        }
    }
    for (auto& [zone, list] : by_zone) {
        std::sort(list.begin(), list.end(), [](const auto* a, const auto* b) {
            return rendezvous_weight(0, *a) < rendezvous_weight(0, *b);
        });
        for (std::size_t i = 0; i < list.size(); ++i) {
            list[i]->zone_position = (static_cast<double>(i) + 0.5) / static_cast<double>(list.size());
        }
    }
}

std::optional<shortest_times> find_shortest_times(const scheduled_request& request,
                                                  const std::vector<server_state*>& servers,
                                                  const placement_context& c, base::time_point now) {
    const auto affinity =
        request.generation ? find_affinity_servers(request, servers, c, now) : affinity_servers{};
    std::optional<shortest_times> out;
    for (const auto* s : servers) {
        if (!s->takes_requests() || s->health.ejected(now)) {
            continue;
        }
        const auto p = request.generation ? plan_prefill(*s, request, affinity, c) : prefill_plan{};
        const auto e = estimate_service(*s, request, p, c, now);
        if (!out) {
            out = shortest_times{e.total, e.total - e.wait, e.first_event - e.wait};
        }
        out->present = std::min(out->present, e.total);
        out->when_idle = std::min(out->when_idle, e.total - e.wait);
        out->first_event_when_idle = std::min(out->first_event_when_idle, e.first_event - e.wait);
    }
    return out;
}

std::optional<placement> choose_server(const scheduled_request& request,
                                       const std::vector<server_state*>& candidates,
                                       const placement_context& c, base::time_point now) {
    const auto affinity =
        request.generation ? find_affinity_servers(request, candidates, c, now) : affinity_servers{};
    struct choice {
        std::optional<placement> server;
        double ms = std::numeric_limits<double>::infinity();
    };
    choice usual;
    choice crowded;  // only if no other server has room
    for (auto* s : candidates) {
        if (!s->takes_requests() || s->health.ejected(now) || s->has_queue(now) ||
            !has_capacity(*s, request, c, now) ||
            (c.signals != nullptr && !c.signals->may_start(s->signal_key, now))) {
            continue;
        }
        const auto p = request.generation ? plan_prefill(*s, request, affinity, c) : prefill_plan{};
        const auto estimate =
            c.times != nullptr ? estimate_service(*s, request, p, c, now) : service_estimate{};
        if (c.times != nullptr && !can_serve_in_time(*s, request, estimate, c, now)) {
            continue;
        }
        const double ms = placement_cost_ms(*s, request, p, c, now);
        auto& best = c.signals != nullptr && c.signals->crowded(s->signal_key, now) ? crowded : usual;
        if (ms < best.ms) {
            best.ms = ms;
            best.server = placement{s,
                                    p.prefill_tokens,
                                    p.kv_transfer_source,
                                    affinity.rank(*s),
                                    is_long_prompt(request, c),
                                    ms,
                                    p.transferred_tokens > 0,
                                    estimate};
        }
    }
    return usual.server ? usual.server : crowded.server;
}

}  // namespace chicorygap::scheduling
