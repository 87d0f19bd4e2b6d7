#include "scheduling/scheduler.h"

#include "backpressure/signal_table.h"
#include "peer_loads.h"
#include "placement.h"
#include "prefill_speed_estimator.h"
#include "queue_forecast.h"
#include "server_state.h"
#include "shared_machines.h"
#include "signal_wait.h"
#include "token_gap_monitor.h"
#include "wait_queue.h"
#include "zone_loads.h"
#include "zone_placement.h"
#include "zone_return.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <numeric>
#include <unordered_map>
#include <utility>

namespace chicorygap::scheduling {

namespace {

using namespace std::chrono_literals;
using base::result_code;

/// Prefill speed that is assumed until it is measured: typical of a server with a large model.
constexpr double default_prefill_tokens_per_ms = 40;
/// Maximum waiting time as a fraction of the target latency; the rest of the time is for the response.
constexpr double max_wait_target_fraction = 0.75;
/// Maximum waiting time as a fraction of the time to the deadline, if this is longer: a late response is
/// better than none.
constexpr double max_wait_deadline_fraction = 0.2;
/// Time for which a request waits to save the way to another zone, as a fraction of the target latency.
constexpr double max_price_wait_target_fraction = 0.5;
/// The same with shared machines, where requests that can only be late start after the others and are refused
/// early if none of the servers can serve them in time.
constexpr double max_forecast_wait_fraction = 0.4;
/// Window over which the rate of request starts is measured.
constexpr base::duration start_rate_window = 2s;
/// Minimum number of starts in the window for an estimate of the rate.
constexpr std::size_t min_starts_for_rate = 8;
/// Prefill time, as a fraction of the shortest token gap limit, from which on a prompt is long: the prefill
/// of a few such prompts in a row between two events makes streams on the same server exceed the limit.
constexpr double long_prompt_gap_fraction = 0.25;
/// Target slot utilisation of servers for streams. The free slots take bursts until the group of servers has
/// been resized.
constexpr double stream_slot_utilisation = 0.5;
/// Bounds of the fraction of servers for streams. The others need KV cache for the shared parts of long
/// prompts.
constexpr double min_stream_server_fraction = 0.15;
constexpr double max_stream_server_fraction = 0.6;
/// Bounds of the retry delay of rejected callers, before jitter.
constexpr base::duration min_retry_after = 250ms;
constexpr base::duration max_retry_after = 3s;
/// Maximum jitter as a fraction of the retry delay, so that callers rejected together do not retry together.
constexpr double retry_jitter_fraction = 0.5;
/// Maximum number of waiting requests that are tried for a free slot, so that a large request does not block
/// small ones.
constexpr int max_scanned_requests = 8;
/// Weight of a new prompt in the moving average of prefill tokens per request.
constexpr double mean_prefill_weight = 0.05;
/// Assumed age of the servers in the first list, which were in use before this daemon started.
constexpr base::duration initial_server_age = 1h;
/// A server that reports more waiting requests than this number, and than its slots divided by the divisor,
/// gets no further requests for a while. Such a queue arises when many daemons send at the same time, and the
/// scheduler's order does not apply to it.
constexpr std::uint32_t max_accepted_queue = 2;
constexpr std::uint32_t queue_slots_divisor = 4;
/// Time for which a server's own report of its queue to this daemon counts.
constexpr base::duration server_queue_report_lifetime = 300ms;
/// Time for which a peer's report of a queue at a server counts, from its receipt by this daemon. With shared
/// machines it says that the server is full, which lasts about as long as one of its requests.
constexpr base::duration peer_queue_report_lifetime = 400ms;
constexpr base::duration peer_full_report_lifetime = 100ms;
/// Age of peer loads up to which they count as recent.
constexpr base::duration recent_load_age = 250ms;
/// Random cost of a server per second by which peer loads are older, and its upper bound. The requests that
/// other daemons start on a server within this time cost the next one about as much.
constexpr double stale_load_spread_ms_per_s = 80;
constexpr double max_stale_load_spread_ms = 20;
/// Servers with a lower rate, no running requests and no reported queue are omitted from load reports.
constexpr double min_reported_prefill_tokens_per_s = 50;

double to_ms(base::duration d) {
    return std::chrono::duration<double, std::milli>{d}.count();
}

}  // namespace

class scheduler::impl {
public:
    impl(scheduler_options o, base::random_function random)
        : options_{std::move(o)},
          random_{std::move(random)},
          peer_loads_{options_.shared_machines ? peer_full_report_lifetime : peer_queue_report_lifetime} {
        if (options_.zones) {
            zones_ = std::make_unique<zone_preference>(options_.zone, *options_.zones, random_);
        }
    }

    struct entry {
        scheduled_request request;
        server_state* server = nullptr;
        std::int64_t prefill_tokens = 0;
        base::time_point started_at;
        std::vector<base::backend_server_id> tried_servers;
        bool output_started = false;       ///< first output of the attempt has arrived
        bool short_prompt_stream = false;  ///< counted in `local_short_prompt_streams_`
        bool token_gap_exceeded = false;   ///< already recorded in the token gap monitor
        bool refused_otherwise = false;    ///< does not wait to save the way to another zone
        attempt_times times;               ///< only with shared machines
    };

    std::vector<decision> take_decisions() { return std::exchange(decisions_, {}); }

    void set_engine(const std::optional<catalog::engine_parameters>& engine) {
        engine_ = engine;
        for (auto& [id, s] : servers_) {
            s->cache.set_capacity(engine ? engine->kv_capacity_tokens : 0);
        }
    }

    void set_servers(const std::vector<catalog::backend_server>& list, base::time_point now) {
        const bool first_list = servers_.empty();
        for (const auto& info : list) {
            auto& s = servers_[info.id];
            if (!s || s->info.incarnation != info.incarnation) {
                detach_requests(s);
                s = std::make_unique<server_state>();
                s->cache.set_capacity(engine_ ? engine_->kv_capacity_tokens : 0);
                s->listed_since = first_list ? now - initial_server_age : now;
                s->id_hash = XXH64(info.id.str().data(), info.id.str().size(), 0);
                s->signal_key = backpressure::key_of(info);
            }
            s->info = info;
        }
        for (auto it = servers_.begin(); it != servers_.end();) {
            const bool listed =
                std::any_of(list.begin(), list.end(), [&](const auto& info) { return info.id == it->first; });
            if (!listed) {
                detach_requests(it->second);
            }
            it = listed ? std::next(it) : servers_.erase(it);
        }
        sorted_servers_.clear();
        for (auto& [id, s] : servers_) {
            sorted_servers_.push_back(s.get());
        }
        std::sort(sorted_servers_.begin(), sorted_servers_.end(),
                  [](auto* a, auto* b) { return a->info.id < b->info.id; });
        assign_zone_positions(sorted_servers_);
        update_loads(now);
        start_waiting_requests(now);
        if (all_evacuated()) {
            reject_waiting_requests(now);
        }
    }

    void set_peer_load(const base::vm_id& peer, const load_report& r, base::time_point valid_until,
                       base::time_point now, const base::zone_id& zone) {
        peer_loads_.set(peer, r, valid_until, now, zone);
        // The loads are summed when they are used: in a large fleet reports are more frequent than requests.
        if (!queue_.empty()) {
            update_loads(now);
            start_waiting_requests(now);
        }
    }

    void submit(scheduled_request request, base::time_point now) {
        const auto id = request.id;
        auto& e = entries_[id];
        e.request = std::move(request);
        if (zones_) {
            zones_->record_arrival(e.request.traffic_bytes);
        }
        if (e.request.generation && e.request.generation->max_token_gap) {
            token_gap_monitor_.add_gap_limit(*e.request.generation->max_token_gap);
        }
        if (queue_.empty() || queue_.count_ahead(e.request.priority_rank) == 0) {
            update_loads(now);
            if (try_start(e, now)) {
                return;
            }
        }
        enqueue_or_reject(e, now);
    }

    void resubmit(local_request_id id, base::time_point now) {
        const auto it = entries_.find(id);
        if (it == entries_.end()) {
            return;
        }
        update_loads(now);
        // The request has already waited, so that it does not wait behind others again.
        if (!try_start(it->second, now)) {
            enqueue_or_reject(it->second, now);
        }
    }

    void remove(local_request_id id) {
        const auto it = entries_.find(id);
        if (it == entries_.end()) {
            return;
        }
        release_server(it->second);
        queue_.erase(id);
        entries_.erase(it);
    }

    void first_output(local_request_id id, base::time_point now) {
        const auto it = entries_.find(id);
        if (it == entries_.end() || it->second.server == nullptr ||
            std::exchange(it->second.output_started, true)) {
            return;
        }
        auto& e = it->second;
        if (e.request.generation && e.request.generation->max_token_gap) {
            token_gap_monitor_.record_stream_start(now);
        }
        record_prefill_speed(e, now);
        if (options_.shared_machines) {
            shared_machines_.first_event(*e.server, e.times, now);
        }
        e.server->local_load.pending_prefill_tokens -= std::exchange(e.prefill_tokens, 0);
    }

    void set_server_queue_length(local_request_id id, std::uint32_t waiting, base::time_point now) {
        const auto it = entries_.find(id);
        // Plain requests are short: the server has processed such a queue before the report arrives.
        if (it == entries_.end() || it->second.server == nullptr || !it->second.request.generation) {
            return;
        }
        auto& s = *it->second.server;
        const auto max_queue = std::max(max_accepted_queue, s.info.slots / queue_slots_divisor);
        s.queue_reported_until = waiting > max_queue ? now + server_queue_report_lifetime : now;
    }

    void set_server_report(local_request_id id, const server_report& r, base::time_point now) {
        const auto it = entries_.find(id);
        if (!options_.shared_machines || it == entries_.end() || it->second.server == nullptr ||
            !is_plausible(r)) {
            return;
        }
        const auto& e = it->second;
        shared_machines_.reported(*e.server, r, e.request.generation.has_value(), now);
    }

    void token_gap_exceeded(local_request_id id, base::time_point now) {
        const auto it = entries_.find(id);
        if (it == entries_.end() || std::exchange(it->second.token_gap_exceeded, true)) {
            return;
        }
        token_gap_monitor_.record_gap_exceeded(now);
    }

    void attempt_finished(local_request_id id, outcome o, base::time_point now) {
        const auto it = entries_.find(id);
        if (it == entries_.end() || it->second.server == nullptr) {
            return;
        }
        auto& e = it->second;
        if (zones_ && o == outcome::success) {
            zones_->record_run_time(now - e.started_at);
        }
        if (o != outcome::success && o != outcome::cancelled) {
            e.tried_servers.push_back(e.server->info.id);
        }
        e.server->health.record(o, service_failure_ratio(), now);
        if (options_.shared_machines) {
            shared_machines_.ended(*e.server, e.request, e.times, o, now);
        }
        release_server(e);
        start_waiting_requests(now);
    }

    void tick(base::time_point now) {
        update_loads(now);
        start_waiting_requests(now);
        for (const auto id : queue_.expired(now)) {
            reject(entries_.at(id), result_code::deadline_unreachable, now);
        }
    }

    [[nodiscard]] load_report local_load(base::time_point now) const {
        load_report r;
        for (const auto* s : sorted_servers_) {
            const double rate = s->prefill_rate.per_second(now);
            const bool queue_reported = now < s->queue_reported_until || s->shared.told_full(now);
            if (s->local_load.running > 0 || rate >= min_reported_prefill_tokens_per_s || queue_reported) {
                r.servers.push_back(s->local_load);
                r.servers.back().server = s->info.id;
                r.servers.back().prefill_tokens_per_s = static_cast<std::uint32_t>(rate);
                r.servers.back().queue_reported = queue_reported;
            }
        }
        r.waiting = static_cast<std::uint32_t>(queue_.size());
        r.short_prompt_streams = local_short_prompt_streams_;
        r.prefill_tokens_per_ms = static_cast<float>(prefill_speed_.prefill_tokens_per_ms());
        r.token_gaps_exceeded = token_gap_monitor_.limits_exceeded(now);
        return r;
    }

    [[nodiscard]] scheduler_status status(base::time_point now) {
        update_loads(now);
        scheduler_status st;
        st.prefill_tokens_per_ms = fleet_prefill_tokens_per_ms();
        st.prefill_tokens_per_s = fleet_prefill_tokens_per_s(now);
        st.servers = sorted_servers_.size();
        st.waiting = queue_.size();
        for (const auto* s : sorted_servers_) {
            st.ejected += s->health.ejected(now) ? 1 : 0;
            st.running += s->local_load.running;
            st.peer_running += s->peer_load.running;
        }
        st.peer_waiting = peer_loads_.waiting();
        if (zones_) {
            update_zones(make_placement_context(now), now);
            st.zones = zones_->status();
        }
        return st;
    }

    [[nodiscard]] bool has_waiting() const { return !queue_.empty(); }

private:
    void update_loads(base::time_point now) {
        peer_loads_.update_servers(sorted_servers_, now);
        if (!options_.shared_machines || !engine_) {
            return;
        }
        const double speed = fleet_prefill_tokens_per_ms();
        shared_machines::advance(sorted_servers_, speed > 0 ? speed : default_prefill_tokens_per_ms, now);
        for (const auto& [id, e] : entries_) {
            if (e.server != nullptr && e.request.generation) {
                shared_machines::missing_first_event(*e.server, e.times, now);
            }
        }
    }

    /// Detaches running attempts from a removed server, so that they do not access its state when they end.
    void detach_requests(std::unique_ptr<server_state>& s) {
        if (!s) {
            return;
        }
        for (auto& [id, e] : entries_) {
            if (e.server == s.get()) {
                e.server = nullptr;
                local_short_prompt_streams_ -= std::exchange(e.short_prompt_stream, false) ? 1 : 0;
            }
        }
    }

    [[nodiscard]] double fleet_prefill_tokens_per_ms() const {
        return peer_loads_.median_prefill_tokens_per_ms(prefill_speed_.prefill_tokens_per_ms());
    }

    /// @return failure ratio over all requests of the service, so that servers with few requests count
    /// little.
    [[nodiscard]] double service_failure_ratio() const {
        double failures = 0;
        double samples = 0;
        for (const auto* s : sorted_servers_) {
            failures += s->health.failures();
            samples += s->health.samples();
        }
        return samples > 0 ? failures / samples : 0;
    }

    [[nodiscard]] placement_context make_placement_context(base::time_point now) {
        const double speed = fleet_prefill_tokens_per_ms();
        placement_context c{.zone = options_.zone,
                            .engine = engine_,
                            .prefill_tokens_per_ms = speed > 0 ? speed : default_prefill_tokens_per_ms,
                            .mean_prefill_tokens = mean_prefill_tokens_,
                            .peer_count = peer_loads_.count(),
                            .stale_load_spread_ms = stale_load_spread_ms(now),
                            .signals = options_.signals,
                            .random = random_,
                            .times = options_.shared_machines ? &shared_machines_.times() : nullptr,
                            .base_latency_ms = prefill_speed_.base_latency_ms()};
        if (const auto gap_limit =
                token_gap_monitor_.enforced_gap_limit(peer_loads_.token_gaps_exceeded(), now)) {
            c.min_long_prompt_tokens = static_cast<std::int64_t>(c.prefill_tokens_per_ms * to_ms(*gap_limit) *
                                                                 long_prompt_gap_fraction);
            c.long_prompt_server_fraction = 1 - stream_server_fraction();
        }
        return c;
    }

    [[nodiscard]] double stale_load_spread_ms(base::time_point now) const {
        const auto age = std::max(base::duration{}, peer_loads_.mean_age(now) - recent_load_age);
        return std::min(stale_load_spread_ms_per_s * to_ms(age) / 1000, max_stale_load_spread_ms);
    }

    /// @return fraction of the servers that is reserved for streams with short prompts.
    [[nodiscard]] double stream_server_fraction() const {
        const auto slots = engine_ ? engine_->slots : 1;
        const auto streams = local_short_prompt_streams_ + peer_loads_.short_prompt_streams();
        const double stream_slots =
            slots * stream_slot_utilisation * static_cast<double>(non_evacuated_count());
        return std::clamp(stream_slots > 0 ? streams / stream_slots : 0, min_stream_server_fraction,
                          max_stream_server_fraction);
    }

    [[nodiscard]] double fleet_prefill_tokens_per_s(base::time_point now) const {
        return std::accumulate(
            sorted_servers_.begin(), sorted_servers_.end(), 0.0,
            [now](double sum, const auto* s) { return sum + s->prefill_tokens_per_s(now); });
    }

    void update_zones(const placement_context& c, base::time_point now) {
        if (zones_->update_due(now)) {
            const zone_load_inputs in{options_.zone,           peer_loads_,         local_load(now), engine_,
                                      c.prefill_tokens_per_ms, mean_prefill_tokens_};
            zones_->update(sum_zone_loads(sorted_servers_, in, now), now);
        }
    }

    std::optional<zone_placement> choose_among(const entry& e, const std::vector<server_state*>& candidates,
                                               const placement_context& c, base::time_point now) {
        if (zones_) {
            const auto longest_wait = e.refused_otherwise ? base::duration{}
                                                          : scaled(e.request.target_at - e.request.arrived,
                                                                   max_price_wait_target_fraction);
            return choose_in_zones(e.request, candidates, c, *zones_,
                                   {.longest_wait = longest_wait, .retry = !e.tried_servers.empty()}, now);
        }
        const auto p = choose_server(e.request, candidates, c, now);
        return p ? std::optional{zone_placement{*p, leave_reason::none}} : std::nullopt;
    }

    std::optional<zone_placement> choose_placement(const entry& e, base::time_point now) {
        const auto c = make_placement_context(now);
        if (zones_) {
            update_zones(c, now);
        }
        std::vector<server_state*> untried;
        for (auto* s : sorted_servers_) {
            if (std::find(e.tried_servers.begin(), e.tried_servers.end(), s->info.id) ==
                e.tried_servers.end()) {
                untried.push_back(s);
            }
        }
        const auto preferred = without_returning_servers(untried, now);
        auto p = choose_among(e, preferred, c, now);
        if (!p && preferred.size() < untried.size()) {
            p = choose_among(e, untried, c, now);
        }
        // Without another server, one that failed before is better than a rejection.
        if (!p && untried.size() < sorted_servers_.size()) {
            p = choose_among(e, sorted_servers_, c, now);
        }
        return p;
    }

    /// @return the servers without those of returning zones, which this request leaves out by chance.
    std::vector<server_state*> without_returning_servers(const std::vector<server_state*>& servers,
                                                         base::time_point now) {
        constexpr std::uint64_t steps = 1024;
        std::vector<server_state*> out;
        std::optional<double> drawn;
        for (auto* s : servers) {
            const double share = zone_return{s->info.returned_at}.share(now);
            if (share < 1 && !drawn) {
                drawn = (static_cast<double>(random_() % steps) + 0.5) / static_cast<double>(steps);
            }
            if (share >= 1 || *drawn < share) {
                out.push_back(s);
            }
        }
        return out;
    }

    [[nodiscard]] std::size_t non_evacuated_count() const {
        return static_cast<std::size_t>(std::count_if(sorted_servers_.begin(), sorted_servers_.end(),
                                                      [](const auto* s) { return !s->info.evacuated; }));
    }

    /// @return true if evacuations leave no server that takes requests.
    [[nodiscard]] bool all_evacuated() const {
        const auto takes_requests = [](const auto* s) { return s->takes_requests(); };
        return non_evacuated_count() < sorted_servers_.size() &&
               std::none_of(sorted_servers_.begin(), sorted_servers_.end(), takes_requests);
    }

    void reject_waiting_requests(base::time_point now) {
        std::vector<local_request_id> waiting;
        queue_.visit([&](local_request_id id) {
            waiting.push_back(id);
            return true;
        });
        for (const auto id : waiting) {
            reject(entries_.at(id), result_code::no_backend_server, now);
        }
    }

    bool try_start(entry& e, base::time_point now) {
        const auto chosen = choose_placement(e, now);
        if (!chosen) {
            return false;
        }
        const auto* p = &chosen->at;
        if (chosen->reason != leave_reason::none) {
            zones_->record_start(p->server->info.zone, e.request.traffic_bytes, chosen->reason);
        }
        e.server = p->server;
        e.prefill_tokens = p->prefill_tokens;
        e.started_at = now;
        e.output_started = false;
        if (options_.shared_machines) {
            e.times = shared_machines_.started(*p, now);
        }
        e.short_prompt_stream = e.request.generation && !p->long_prompt;
        local_short_prompt_streams_ += e.short_prompt_stream ? 1 : 0;
        if (options_.signals != nullptr) {
            options_.signals->record_start(p->server->signal_key, now);
        }
        auto& load = p->server->local_load;
        load.running++;
        if (e.request.generation) {
            load.kv_cache_tokens += e.request.generation->kv_cache_tokens();
            load.pending_prefill_tokens += e.prefill_tokens;
            const auto prefill = static_cast<double>(e.prefill_tokens);
            p->server->prefill_rate.add(prefill, now);
            mean_prefill_tokens_ += mean_prefill_weight * (prefill - mean_prefill_tokens_);
            p->server->cache.insert(e.request.generation->parts);
        }
        recent_starts_.push_back(now);
        drop_old_starts(now);
        start_decision started{.id = e.request.id, .server = p->server->info};
        started.prefill_tokens = p->prefill_tokens;
        started.affinity_rank = p->affinity_rank;
        if (p->kv_transfer_source != nullptr) {
            started.kv_transfer_source = p->kv_transfer_source->info.address;
        }
        decisions_.emplace_back(std::move(started));
        return true;
    }

    void release_server(entry& e) {
        auto* s = std::exchange(e.server, nullptr);
        if (s == nullptr) {
            return;
        }
        s->local_load.running--;
        local_short_prompt_streams_ -= std::exchange(e.short_prompt_stream, false) ? 1 : 0;
        if (e.request.generation) {
            s->local_load.kv_cache_tokens -= e.request.generation->kv_cache_tokens();
            s->local_load.pending_prefill_tokens -= std::exchange(e.prefill_tokens, 0);
        }
    }

    void start_waiting_requests(base::time_point now) {
        queue_.update_late(now);
        while (!queue_.empty()) {
            local_request_id started = local_request_id::none;
            int scanned = 0;
            queue_.visit([&](local_request_id id) {
                if (try_start(entries_.at(id), now)) {
                    started = id;
                    return false;
                }
                return ++scanned < max_scanned_requests;
            });
            if (started == local_request_id::none) {
                return;
            }
            queue_.start(started);
        }
    }

    /// Load: more requests than all servers can serve in time. Refuses those that cannot meet their deadline
    /// on any server while their callers still have time to try again, rather than at the deadline.
    void enqueue_or_reject_by_forecast(entry& e, base::time_point now) {
        const auto c = make_placement_context(now);
        const auto shortest = find_shortest_times(e.request, sorted_servers_, c, now);
        const auto time_limit = e.request.deadline - e.request.arrived;
        const auto longest_wait =
            std::max(scaled(e.request.target_at - e.request.arrived, max_wait_target_fraction),
                     scaled(time_limit, max_forecast_wait_fraction));
        const auto fastest = shortest.value_or(shortest_times{});
        const auto first_event_deadline = e.request.first_event_deadline();
        const auto latest_start =
            std::min({e.request.arrived + longest_wait, e.request.deadline - fastest.when_idle,
                      first_event_deadline - fastest.first_event_when_idle});
        const auto first_event = now + fastest.present - fastest.when_idle + fastest.first_event_when_idle;
        const bool too_late = now >= latest_start || now + fastest.present > e.request.deadline ||
                              first_event > first_event_deadline;
        const bool no_room = now + expected_wait(e.request.priority_rank, now) > latest_start;
        if (!too_late && !no_room) {
            queue_.push(e.request.id, e.request,
                        {latest_start, e.request.target_at - fastest.first_event_when_idle});
            return;
        }
        // Requests ahead may need more than the free places offer.
        if (!try_start(e, now)) {
            reject(e, too_late ? result_code::deadline_unreachable : result_code::queue_full, now,
                   fastest.present - fastest.when_idle);
        }
    }

    void enqueue_or_reject(entry& e, base::time_point now) {
        if (options_.shared_machines && !sorted_servers_.empty()) {
            enqueue_or_reject_by_forecast(e, now);
            return;
        }
        const auto target = e.request.target_at - e.request.arrived;
        const auto time_limit = e.request.deadline - e.request.arrived;
        const auto latest_start =
            std::max(e.request.arrived + scaled(target, max_wait_target_fraction),
                     e.request.arrived + scaled(time_limit, max_wait_deadline_fraction));
        if (sorted_servers_.empty() || all_evacuated()) {
            reject(e, result_code::no_backend_server, now);
            return;
        }
        if (now >= latest_start || now + expected_wait(e.request.priority_rank, now) > latest_start) {
            e.refused_otherwise = true;
            if (zones_ && try_start(e, now)) {
                return;
            }
            reject(e, result_code::queue_full, now);
            return;
        }
        queue_.push(e.request.id, e.request, {.latest = latest_start});
    }

    static base::duration scaled(base::duration d, double factor) {
        return std::chrono::duration_cast<base::duration>(d * factor);
    }

    [[nodiscard]] std::optional<base::duration> wait_for_signals(std::size_t ahead,
                                                                 base::time_point now) const {
        return options_.signals == nullptr
                   ? std::nullopt
                   : scheduling::wait_for_signals(sorted_servers_, *options_.signals, ahead, now);
    }

    base::duration expected_wait(std::uint8_t priority_rank, base::time_point now) {
        if (const auto wait = wait_for_signals(queue_.count_ahead(priority_rank), now)) {
            return *wait;
        }
        if (options_.shared_machines) {
            return forecast().wait(queue_.count_ahead(priority_rank));
        }
        drop_old_starts(now);
        if (recent_starts_.size() < min_starts_for_rate) {
            return {};
        }
        const auto ahead = static_cast<double>(queue_.count_ahead(priority_rank));
        return scaled(start_rate_window, ahead / static_cast<double>(recent_starts_.size()));
    }

    [[nodiscard]] queue_forecast forecast() const {
        fleet_load f{.waiting = queue_.size(),
                     .peer_waiting = peer_loads_.waiting(),
                     .request_time = shared_machines_.times().request_time()};
        for (const auto* s : sorted_servers_) {
            f.running += s->running();
        }
        return queue_forecast{f};
    }

    void drop_old_starts(base::time_point now) {
        while (!recent_starts_.empty() && now - recent_starts_.front() > start_rate_window) {
            recent_starts_.pop_front();
        }
    }

    /// @param server_wait shortest expected wait on a server.
    void reject(entry& e, result_code code, base::time_point now, base::duration server_wait = {}) {
        const auto id = e.request.id;
        const auto retry = retry_after(e, server_wait, now);
        decisions_.emplace_back(reject_decision{id, code, retry});
        queue_.erase(id);
        entries_.erase(id);
    }

    base::duration retry_after(const entry& e, base::duration server_wait, base::time_point now) {
        // An evacuation lasts until the operator withdraws it.
        const auto wait = all_evacuated() ? max_retry_after : expected_wait(e.request.priority_rank, now);
        if (options_.shared_machines && !wait_for_signals(0, now)) {
            return return_schedule_.next(std::max(wait, server_wait), forecast().start_interval(), random_,
                                         now);
        }
        const double jitter =
            retry_jitter_fraction * static_cast<double>(random_() % 1024) / 1024.0;  // in 1024 steps
        const auto longest = wait_for_signals(0, now) ? longest_signal_wait : max_retry_after;
        return scaled(std::clamp(wait, min_retry_after, longest), 1 + jitter);
    }

    void record_prefill_speed(const entry& e, base::time_point now) {
        if (e.server->local_load.pending_prefill_tokens > e.prefill_tokens) {
            return;  // the server processed other prompts at the same time
        }
        if (const double speed = prefill_speed_.observe(e.prefill_tokens, now - e.started_at); speed > 0) {
            e.server->prefill_tokens_per_ms.add(speed);
        }
    }

    scheduler_options options_;
    base::random_function random_;
    std::optional<catalog::engine_parameters> engine_;
    std::unordered_map<base::backend_server_id, std::unique_ptr<server_state>> servers_;
    std::vector<server_state*> sorted_servers_;
    peer_loads peer_loads_;
    std::unordered_map<local_request_id, entry> entries_;
    wait_queue queue_;
    std::deque<base::time_point> recent_starts_;
    token_gap_monitor token_gap_monitor_;
    prefill_speed_estimator prefill_speed_;
    shared_machines shared_machines_;
    return_schedule return_schedule_;
    std::uint32_t local_short_prompt_streams_ = 0;
    double mean_prefill_tokens_ = 0;
    std::unique_ptr<zone_preference> zones_;  ///< null without a price of the traffic between zones
    std::vector<decision> decisions_;
};

scheduler::scheduler(scheduler_options o, base::random_function random)
    : impl_{std::make_unique<impl>(std::move(o), std::move(random))} {}
scheduler::~scheduler() = default;

void scheduler::set_engine(const std::optional<catalog::engine_parameters>& engine) {
    impl_->set_engine(engine);
}

std::vector<decision> scheduler::set_servers(const std::vector<catalog::backend_server>& list,
                                             base::time_point now) {
    impl_->set_servers(list, now);
    return impl_->take_decisions();
}

std::vector<decision> scheduler::set_peer_load(const base::vm_id& peer, const load_report& r,
                                               base::time_point valid_until, base::time_point now,
                                               const base::zone_id& zone) {
    impl_->set_peer_load(peer, r, valid_until, now, zone);
    return impl_->take_decisions();
}

std::vector<decision> scheduler::submit(scheduled_request request, base::time_point now) {
    impl_->submit(std::move(request), now);
    return impl_->take_decisions();
}

std::vector<decision> scheduler::resubmit(local_request_id id, base::time_point now) {
    impl_->resubmit(id, now);
    return impl_->take_decisions();
}

void scheduler::remove(local_request_id id) {
    impl_->remove(id);
}

void scheduler::first_output(local_request_id id, base::time_point now) {
    impl_->first_output(id, now);
}

void scheduler::set_server_queue_length(local_request_id id, std::uint32_t waiting, base::time_point now) {
    impl_->set_server_queue_length(id, waiting, now);
}

void scheduler::set_server_report(local_request_id id, const server_report& r, base::time_point now) {
    impl_->set_server_report(id, r, now);
}

void scheduler::token_gap_exceeded(local_request_id id, base::time_point now) {
    impl_->token_gap_exceeded(id, now);
}

std::vector<decision> scheduler::attempt_finished(local_request_id id, outcome o, base::time_point now) {
    impl_->attempt_finished(id, o, now);
    return impl_->take_decisions();
}

std::vector<decision> scheduler::tick(base::time_point now) {
    impl_->tick(now);
    return impl_->take_decisions();
}

load_report scheduler::local_load(base::time_point now) const {
    return impl_->local_load(now);
}

scheduler_status scheduler::status(base::time_point now) const {
    return impl_->status(now);
}

bool scheduler::has_waiting() const {
    return impl_->has_waiting();
}

}  // namespace chicorygap::scheduling
