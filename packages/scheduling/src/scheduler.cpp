#include "scheduling/scheduler.h"

#include "pause_watch.h"
#include "peer_loads.h"
#include "placement.h"
#include "reading_speed.h"
#include "server_state.h"
#include "wait_queue.h"

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

/// Prompt tokens a millisecond until a first token was measured: a usual server of a large model.
constexpr double initial_tokens_per_ms = 40;
/// Waiting up to this share of the target still leaves time to answer in time.
constexpr double target_share_waiting = 0.75;
/// Waiting up to this share of the caller's time is worth a late answer.
constexpr double deadline_share_waiting = 0.2;
/// Window over which the rate of starts is measured.
constexpr base::duration rate_window = 2s;
/// Fewer starts in the window say nothing about the rate.
constexpr std::size_t least_starts = 8;
/// A prompt that takes this part of the shortest pause to read is long: a few of them in a row between two
/// events make the streams beside them late.
constexpr double pause_share_reading = 0.25;
/// Part of their slots that servers for streams use: the next burst must fit before the share follows it.
constexpr double stream_utilisation = 0.5;
/// Bounds of their part of the servers. The others keep the shared parts of long prompts, which need memory.
constexpr double least_stream_share = 0.15;
constexpr double most_stream_share = 0.6;
/// Bounds of the time after which a refused caller is told to return.
constexpr base::duration shortest_retry = 250ms;
constexpr base::duration longest_retry = 3s;
/// Callers refused together return spread over this share of the time.
constexpr double retry_spread = 0.5;
/// Waiting requests that are looked at for one free place; a large request must not block small ones.
constexpr int lookahead = 8;
/// Share of a new prompt in the usual number of tokens that a request adds to a queue.
constexpr double new_prompt_share = 0.05;
/// Servers of the first list were there before this daemon.
constexpr base::duration settled_at_start = 1h;
/// A server at which more requests wait than this, and than this part of its slots, gets no others for a
/// while: what many daemons sent at the same moment queues there, out of our order.
constexpr std::uint32_t least_queue = 2;
constexpr std::uint32_t queue_part = 4;
constexpr base::duration queue_time = 300ms;
/// Prompt tokens a second below which a server is left out of a report.
constexpr double least_rate = 50;

double to_ms(base::duration d) {
    return std::chrono::duration<double, std::milli>{d}.count();
}

}  // namespace

class scheduler::impl {
public:
    impl(scheduler_options o, base::random_function random)
        : options_{std::move(o)}, random_{std::move(random)} {}

    struct entry {
        scheduled_request w;
        server_state* server = nullptr;
        std::int64_t unread = 0;
        base::time_point started;
        std::vector<base::backend_server_id> tried;
        bool answered = false;  ///< the attempt's answer has begun
        bool stream = false;    ///< counted as a generation with a short prompt
        bool paused = false;    ///< counted as a stream with a pause that is too long
    };

    std::vector<decision> take_decisions() { return std::exchange(decisions_, {}); }

    void set_engine(const std::optional<catalog::engine_parameters>& terms) {
        engine_ = terms;
        for (auto& [id, s] : servers_) {
            s->cache.set_capacity(terms ? terms->kv_capacity_tokens : 0);
        }
    }

    void set_servers(const std::vector<catalog::backend_server>& list, base::time_point now) {
        const bool first_list = servers_.empty();
        for (const auto& info : list) {
            auto& s = servers_[info.id];
            if (!s || s->info.incarnation != info.incarnation) {
                retire(s);
                s = std::make_unique<server_state>();
                s->cache.set_capacity(engine_ ? engine_->kv_capacity_tokens : 0);
                s->since = first_list ? now - settled_at_start : now;
                s->id_hash = XXH64(info.id.str().data(), info.id.str().size(), 0);
            }
            s->info = info;
        }
        for (auto it = servers_.begin(); it != servers_.end();) {
            const bool listed =
                std::any_of(list.begin(), list.end(), [&](const auto& info) { return info.id == it->first; });
            if (!listed) {
                retire(it->second);
            }
            it = listed ? std::next(it) : servers_.erase(it);
        }
        usable_.clear();
        for (auto& [id, s] : servers_) {
            usable_.push_back(s.get());
        }
        std::sort(usable_.begin(), usable_.end(), [](auto* a, auto* b) { return a->info.id < b->info.id; });
        assign_positions(usable_);
        peers_.apply(usable_, now);
        start_waiting(now);
    }

    void set_peer_load(const base::vm_id& peer, const load_report& r, base::time_point valid_until,
                       base::time_point now) {
        peers_.set(peer, r, valid_until, now);
        peers_.apply(usable_, now);
        start_waiting(now);
    }

    void submit(scheduled_request w, base::time_point now) {
        const auto id = w.id;
        auto& e = entries_[id];
        e.w = std::move(w);
        if (e.w.generation && e.w.generation->max_token_gap) {
            pauses_.note_target(*e.w.generation->max_token_gap);
        }
        if (queue_.empty() || queue_.ahead_of(e.w.priority_rank) == 0) {
            if (try_start(e, now)) {
                return;
            }
        }
        wait_or_refuse(e, now);
    }

    void resubmit(local_request_id id, base::time_point now) {
        const auto it = entries_.find(id);
        if (it == entries_.end()) {
            return;
        }
        // It has waited its turn before.
        if (!try_start(it->second, now)) {
            wait_or_refuse(it->second, now);
        }
    }

    void remove(local_request_id id) {
        const auto it = entries_.find(id);
        if (it == entries_.end()) {
            return;
        }
        release(it->second);
        queue_.erase(id);
        entries_.erase(it);
    }

    void first_output(local_request_id id, base::time_point now) {
        const auto it = entries_.find(id);
        if (it == entries_.end() || it->second.server == nullptr ||
            std::exchange(it->second.answered, true)) {
            return;
        }
        auto& e = it->second;
        if (e.w.generation && e.w.generation->max_token_gap) {
            pauses_.note_stream(now);
        }
        learn_speed(e, now);
        e.server->own.pending_prefill_tokens -= std::exchange(e.unread, 0);
    }

    void set_server_queue_length(local_request_id id, std::uint32_t waiting, base::time_point now) {
        const auto it = entries_.find(id);
        // Plain requests are short: their queue is gone before a report of it arrives.
        if (it == entries_.end() || it->second.server == nullptr || !it->second.w.generation) {
            return;
        }
        auto& s = *it->second.server;
        const auto most = std::max(least_queue, s.info.slots / queue_part);
        s.queued_until = waiting > most ? now + queue_time : now;
    }

    void token_gap_exceeded(local_request_id id, base::time_point now) {
        const auto it = entries_.find(id);
        if (it == entries_.end() || std::exchange(it->second.paused, true)) {
            return;
        }
        pauses_.note_late(now);
    }

    void attempt_finished(local_request_id id, outcome o, base::time_point now) {
        const auto it = entries_.find(id);
        if (it == entries_.end() || it->second.server == nullptr) {
            return;
        }
        auto& e = it->second;
        if (o != outcome::success && o != outcome::cancelled) {
            e.tried.push_back(e.server->info.id);
        }
        e.server->health.record(o, usual_failures(), now);
        release(e);
        start_waiting(now);
    }

    void tick(base::time_point now) {
        peers_.apply(usable_, now);
        start_waiting(now);
        for (const auto id : queue_.expired(now)) {
            refuse_entry(entries_.at(id), result_code::deadline_unreachable, now);
        }
    }

    [[nodiscard]] load_report own_load(base::time_point now) const {
        load_report r;
        for (const auto* s : usable_) {
            const double rate = s->reading.per_second(now);
            const bool queue_reported = now < s->queued_until;
            if (s->own.running > 0 || rate >= least_rate || queue_reported) {
                r.servers.push_back(s->own);
                r.servers.back().server = s->info.id;
                r.servers.back().prefill_tokens_per_s = static_cast<std::uint32_t>(rate);
                r.servers.back().queue_reported = queue_reported;
            }
        }
        r.waiting = static_cast<std::uint32_t>(queue_.size());
        r.short_prompt_streams = own_streams_;
        r.prefill_tokens_per_ms = static_cast<float>(speed_.prefill_tokens_per_ms());
        r.token_gaps_exceeded = pauses_.late(now);
        return r;
    }

    [[nodiscard]] scheduler_status status(base::time_point now) const {
        scheduler_status st;
        st.prefill_tokens_per_ms = fleet_speed();
        st.prefill_tokens_per_s = fleet_tokens_per_s(now);
        st.servers = usable_.size();
        st.waiting = queue_.size();
        for (const auto* s : usable_) {
            st.ejected += s->health.ejected(now) ? 1 : 0;
            st.running += s->own.running;
            st.peer_running += s->peers.running;
        }
        st.peer_waiting = peers_.waiting();
        return st;
    }

    [[nodiscard]] bool has_waiting() const { return !queue_.empty(); }

private:
    /// Attempts on a server that is gone end by themselves; they must not touch its state.
    void retire(std::unique_ptr<server_state>& s) {
        if (!s) {
            return;
        }
        for (auto& [id, e] : entries_) {
            if (e.server == s.get()) {
                e.server = nullptr;
                own_streams_ -= std::exchange(e.stream, false) ? 1 : 0;
            }
        }
    }

    [[nodiscard]] double fleet_speed() const { return peers_.agreed_speed(speed_.prefill_tokens_per_ms()); }

    /// Share over all requests, so that a server with few of them counts little.
    [[nodiscard]] double usual_failures() const {
        double failures = 0;
        double samples = 0;
        for (const auto* s : usable_) {
            failures += s->health.failures();
            samples += s->health.samples();
        }
        return samples > 0 ? failures / samples : 0;
    }

    [[nodiscard]] placement_context context(base::time_point now) {
        const double speed = fleet_speed();
        placement_context c{.zone = options_.zone,
                            .engine = engine_,
                            .prefill_tokens_per_ms = speed > 0 ? speed : initial_tokens_per_ms,
                            .tokens_per_prompt = tokens_per_prompt_,
                            .peers = peers_.count(),
                            .random = random_};
        if (const auto pause = pauses_.pause_to_keep(peers_.token_gaps_exceeded(), now)) {
            c.long_prompt_tokens =
                static_cast<std::int64_t>(c.prefill_tokens_per_ms * to_ms(*pause) * pause_share_reading);
            c.long_prompt_share = 1 - stream_share();
        }
        return c;
    }

    /// @return part of the servers that is kept for streams which long prompts would interrupt.
    [[nodiscard]] double stream_share() const {
        const auto slots = engine_ ? engine_->slots : 1;
        const auto streams = own_streams_ + peers_.short_prompt_streams();
        const double places = slots * stream_utilisation * static_cast<double>(usable_.size());
        return std::clamp(places > 0 ? streams / places : 0, least_stream_share, most_stream_share);
    }

    [[nodiscard]] double fleet_tokens_per_s(base::time_point now) const {
        return std::accumulate(usable_.begin(), usable_.end(), 0.0, [now](double sum, const auto* s) {
            return sum + s->prefill_tokens_per_s(now);
        });
    }

    std::optional<placement> place(const entry& e, base::time_point now) {
        const auto c = context(now);
        std::vector<server_state*> fresh;
        for (auto* s : usable_) {
            if (std::find(e.tried.begin(), e.tried.end(), s->info.id) == e.tried.end()) {
                fresh.push_back(s);
            }
        }
        auto p = choose_server(e.w, fresh, c, now);
        // With every other server gone, one that failed before is better than a refusal.
        if (!p && fresh.size() < usable_.size()) {
            p = choose_server(e.w, usable_, c, now);
        }
        return p;
    }

    bool try_start(entry& e, base::time_point now) {
        const auto p = place(e, now);
        if (!p) {
            return false;
        }
        e.server = p->server;
        e.unread = p->prefill_tokens;
        e.started = now;
        e.answered = false;
        e.stream = e.w.generation && !p->long_prompt;
        own_streams_ += e.stream ? 1 : 0;
        auto& own = p->server->own;
        own.running++;
        if (e.w.generation) {
            own.kv_cache_tokens += e.w.generation->kv_cache_tokens();
            own.pending_prefill_tokens += e.unread;
            const auto unread = static_cast<double>(e.unread);
            p->server->reading.add(unread, now);
            tokens_per_prompt_ += new_prompt_share * (unread - tokens_per_prompt_);
            p->server->cache.insert(e.w.generation->parts);
        }
        starts_.push_back(now);
        drop_old_starts(now);
        start_decision started{.id = e.w.id, .server = p->server->info};
        started.prefill_tokens = p->prefill_tokens;
        started.affinity_rank = p->affinity_rank;
        if (p->source != nullptr) {
            started.kv_transfer_source = p->source->info.address;
        }
        decisions_.emplace_back(std::move(started));
        return true;
    }

    void release(entry& e) {
        auto* s = std::exchange(e.server, nullptr);
        if (s == nullptr) {
            return;
        }
        s->own.running--;
        own_streams_ -= std::exchange(e.stream, false) ? 1 : 0;
        if (e.w.generation) {
            s->own.kv_cache_tokens -= e.w.generation->kv_cache_tokens();
            s->own.pending_prefill_tokens -= std::exchange(e.unread, 0);
        }
    }

    void start_waiting(base::time_point now) {
        while (!queue_.empty()) {
            local_request_id started = local_request_id::none;
            int looked_at = 0;
            queue_.visit([&](local_request_id id) {
                if (try_start(entries_.at(id), now)) {
                    started = id;
                    return false;
                }
                return ++looked_at < lookahead;
            });
            if (started == local_request_id::none) {
                return;
            }
            queue_.erase(started);
        }
    }

    void wait_or_refuse(entry& e, base::time_point now) {
        const auto target = e.w.target_at - e.w.arrived;
        const auto allowed = e.w.deadline - e.w.arrived;
        const auto latest = std::max(e.w.arrived + scaled(target, target_share_waiting),
                                     e.w.arrived + scaled(allowed, deadline_share_waiting));
        if (usable_.empty()) {
            refuse_entry(e, result_code::no_backend_server, now);
            return;
        }
        if (now >= latest || now + expected_wait(e.w.priority_rank, now) > latest) {
            refuse_entry(e, result_code::queue_full, now);
            return;
        }
        queue_.push(e.w.id, e.w, latest);
    }

    static base::duration scaled(base::duration d, double factor) {
        return std::chrono::duration_cast<base::duration>(d * factor);
    }

    base::duration expected_wait(std::uint8_t priority_rank, base::time_point now) {
        drop_old_starts(now);
        if (starts_.size() < least_starts) {
            return {};
        }
        const auto ahead = static_cast<double>(queue_.ahead_of(priority_rank));
        return scaled(rate_window, ahead / static_cast<double>(starts_.size()));
    }

    void drop_old_starts(base::time_point now) {
        while (!starts_.empty() && now - starts_.front() > rate_window) {
            starts_.pop_front();
        }
    }

    void refuse_entry(entry& e, result_code code, base::time_point now) {
        const auto wait = expected_wait(e.w.priority_rank, now);
        const double spread =
            retry_spread * static_cast<double>(random_() % 1024) / 1024.0;  // 1024 steps are fine enough
        const auto retry = scaled(std::clamp(wait, shortest_retry, longest_retry), 1 + spread);
        const auto id = e.w.id;
        decisions_.emplace_back(reject_decision{id, code, retry});
        queue_.erase(id);
        entries_.erase(id);
    }

    void learn_speed(const entry& e, base::time_point now) {
        if (e.server->own.pending_prefill_tokens > e.unread) {
            return;  // other prompts were read at the same time
        }
        if (const double seen = speed_.observe(e.unread, now - e.started); seen > 0) {
            e.server->prefill_tokens_per_ms.add(seen);
        }
    }

    scheduler_options options_;
    base::random_function random_;
    std::optional<catalog::engine_parameters> engine_;
    std::unordered_map<base::backend_server_id, std::unique_ptr<server_state>> servers_;
    std::vector<server_state*> usable_;
    peer_loads peers_;
    std::unordered_map<local_request_id, entry> entries_;
    wait_queue queue_;
    std::deque<base::time_point> starts_;
    pause_watch pauses_;
    reading_speed speed_;
    std::uint32_t own_streams_ = 0;
    double tokens_per_prompt_ = 0;
    std::vector<decision> decisions_;
};

scheduler::scheduler(scheduler_options o, base::random_function random)
    : impl_{std::make_unique<impl>(std::move(o), std::move(random))} {}
scheduler::~scheduler() = default;

void scheduler::set_engine(const std::optional<catalog::engine_parameters>& terms) {
    impl_->set_engine(terms);
}

std::vector<decision> scheduler::set_servers(const std::vector<catalog::backend_server>& list,
                                             base::time_point now) {
    impl_->set_servers(list, now);
    return impl_->take_decisions();
}

std::vector<decision> scheduler::set_peer_load(const base::vm_id& peer, const load_report& r,
                                               base::time_point valid_until, base::time_point now) {
    impl_->set_peer_load(peer, r, valid_until, now);
    return impl_->take_decisions();
}

std::vector<decision> scheduler::submit(scheduled_request w, base::time_point now) {
    impl_->submit(std::move(w), now);
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

load_report scheduler::own_load(base::time_point now) const {
    return impl_->own_load(now);
}

scheduler_status scheduler::status(base::time_point now) const {
    return impl_->status(now);
}

bool scheduler::has_waiting() const {
    return impl_->has_waiting();
}

}  // namespace chicorygap::scheduling
