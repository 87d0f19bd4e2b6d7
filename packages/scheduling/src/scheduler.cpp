#include "scheduling/scheduler.h"

#include "pause_watch.h"
#include "placement.h"
#include "reading_speed.h"
#include "server_state.h"
#include "wait_queue.h"

#include <algorithm>
#include <cmath>
#include <deque>
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
/// Servers for long prompts read for this part of the time.
constexpr double long_prompt_utilisation = 0.5;
/// Bounds of their part of the servers.
constexpr double least_share = 0.25;
constexpr double most_share = 0.75;
/// Bounds of the time after which a refused caller is told to return.
constexpr base::duration shortest_retry = 250ms;
constexpr base::duration longest_retry = 3s;
/// Callers refused together return spread over this share of the time.
constexpr double retry_spread = 0.5;
/// Waiting requests that are looked at for one free place; a large request must not block small ones.
constexpr int lookahead = 8;

double to_ms(base::duration d) {
    return std::chrono::duration<double, std::milli>{d}.count();
}

}  // namespace

class scheduler::impl {
public:
    impl(scheduler_options o, base::random_function random)
        : options_{std::move(o)}, random_{std::move(random)} {}

    struct entry {
        work w;
        server_state* server = nullptr;
        std::int64_t unread = 0;
        base::time_point started;
        std::vector<base::backend_server_id> tried;
        bool answered = false;  ///< the attempt's answer has begun
        bool paused = false;    ///< counted as a stream with a pause that is too long
    };

    std::vector<action> take_actions() { return std::exchange(actions_, {}); }

    void set_engine(const std::optional<catalog::engine_terms>& terms) {
        engine_ = terms;
        for (auto& [id, s] : servers_) {
            s->cache.set_capacity(terms ? terms->memory_tokens : 0);
        }
    }

    void set_servers(const std::vector<catalog::backend_server>& list, base::time_point now) {
        for (const auto& info : list) {
            auto& s = servers_[info.id];
            if (!s || s->info.incarnation != info.incarnation) {
                retire(s);
                s = std::make_unique<server_state>();
                s->cache.set_capacity(engine_ ? engine_->memory_tokens : 0);
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
        sum_peers(now);
        start_waiting(now);
    }

    void set_peer_load(const base::vm_id& peer, const load_report& r, base::time_point valid_until,
                       base::time_point now) {
        peers_[peer] = {r, valid_until};
        sum_peers(now);
        start_waiting(now);
    }

    void submit(work w, base::time_point now) {
        const auto id = w.id;
        auto& e = entries_[id];
        e.w = std::move(w);
        if (e.w.terms && e.w.terms->pause) {
            pauses_.note_target(*e.w.terms->pause);
        }
        if (queue_.empty() || queue_.ahead_of(e.w.urgency) == 0) {
            if (try_start(e, now)) {
                return;
            }
        }
        wait_or_refuse(e, now);
    }

    void resubmit(ticket id, base::time_point now) {
        const auto it = entries_.find(id);
        if (it == entries_.end()) {
            return;
        }
        // It has waited its turn before.
        if (!try_start(it->second, now)) {
            wait_or_refuse(it->second, now);
        }
    }

    void withdraw(ticket id) {
        const auto it = entries_.find(id);
        if (it == entries_.end()) {
            return;
        }
        release(it->second);
        queue_.erase(id);
        entries_.erase(it);
    }

    void first_output(ticket id, base::time_point now) {
        const auto it = entries_.find(id);
        if (it == entries_.end() || it->second.server == nullptr ||
            std::exchange(it->second.answered, true)) {
            return;
        }
        auto& e = it->second;
        learn_speed(e, now);
        e.server->own.unread_tokens -= std::exchange(e.unread, 0);
    }

    void paused_too_long(ticket id, base::time_point now) {
        const auto it = entries_.find(id);
        if (it == entries_.end() || std::exchange(it->second.paused, true)) {
            return;
        }
        pauses_.note_late(now);
    }

    void finished(ticket id, outcome o, base::time_point now) {
        const auto it = entries_.find(id);
        if (it == entries_.end() || it->second.server == nullptr) {
            return;
        }
        auto& e = it->second;
        if (o != outcome::success && o != outcome::abandoned) {
            e.tried.push_back(e.server->info.id);
        }
        e.server->health.record(o, usual_failures(), now);
        release(e);
        start_waiting(now);
    }

    void tick(base::time_point now) {
        sum_peers(now);
        start_waiting(now);
        for (const auto id : queue_.expired(now)) {
            refuse_entry(entries_.at(id), result_code::deadline_unreachable, now);
        }
    }

    [[nodiscard]] load_report own_load(base::time_point now) const {
        load_report r;
        for (const auto* s : usable_) {
            if (s->own.running > 0) {
                r.servers.push_back(s->own);
                r.servers.back().server = s->info.id;
            }
        }
        r.waiting = static_cast<std::uint32_t>(queue_.size());
        r.prompt_tokens_per_s = static_cast<std::uint32_t>(own_tokens_per_s(now));
        return r;
    }

    [[nodiscard]] scheduler_status status(base::time_point now) const {
        scheduler_status st;
        st.tokens_per_ms = speed_.tokens_per_ms();
        st.prompt_tokens_per_s = fleet_tokens_per_s(now);
        st.servers = usable_.size();
        st.waiting = queue_.size();
        for (const auto* s : usable_) {
            st.ejected += s->health.ejected(now) ? 1 : 0;
            st.running += s->own.running;
            st.peer_running += s->peers.running;
        }
        for (const auto& [peer, report] : peers_) {
            st.peer_waiting += report.load.waiting;
        }
        return st;
    }

    [[nodiscard]] bool has_waiting() const { return !queue_.empty(); }

private:
    struct peer_report {
        load_report load;
        base::time_point valid_until;
    };

    struct start_record {
        base::time_point at;
        std::int64_t unread_tokens = 0;
    };

    /// Attempts on a server that is gone end by themselves; they must not touch its state.
    void retire(std::unique_ptr<server_state>& s) {
        if (!s) {
            return;
        }
        for (auto& [id, e] : entries_) {
            if (e.server == s.get()) {
                e.server = nullptr;
            }
        }
    }

    void sum_peers(base::time_point now) {
        std::erase_if(peers_, [&](const auto& p) { return now > p.second.valid_until; });
        for (auto* s : usable_) {
            s->peers = {};
        }
        for (const auto& [peer, report] : peers_) {
            for (const auto& l : report.load.servers) {
                const auto it = servers_.find(l.server);
                if (it != servers_.end()) {
                    it->second->peers.running += l.running;
                    it->second->peers.memory_tokens += l.memory_tokens;
                    it->second->peers.unread_tokens += l.unread_tokens;
                }
            }
        }
    }

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
        placement_context c{
            .zone = options_.zone,
            .engine = engine_,
            .tokens_per_ms = speed_.tokens_per_ms() > 0 ? speed_.tokens_per_ms() : initial_tokens_per_ms,
            .peers = peers_.size(),
            .random = random_};
        if (const auto pause = pauses_.pause_to_keep(now)) {
            c.long_prompt_tokens =
                static_cast<std::int64_t>(c.tokens_per_ms * to_ms(*pause) * pause_share_reading);
            const double capacity =
                c.tokens_per_ms * 1000 * long_prompt_utilisation * static_cast<double>(usable_.size());
            c.long_prompt_share =
                capacity > 0 ? std::clamp(fleet_tokens_per_s(now) / capacity, least_share, most_share) : 0;
        }
        return c;
    }

    [[nodiscard]] double fleet_tokens_per_s(base::time_point now) const {
        double tokens = own_tokens_per_s(now);
        for (const auto& [peer, report] : peers_) {
            tokens += report.load.prompt_tokens_per_s;
        }
        return tokens;
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
        e.unread = p->unread_tokens;
        e.started = now;
        e.answered = false;
        auto& own = p->server->own;
        own.running++;
        if (e.w.terms) {
            own.memory_tokens += e.w.terms->memory_tokens();
            own.unread_tokens += e.unread;
            p->server->cache.insert(e.w.terms->parts);
        }
        starts_.push_back({now, e.unread});
        drop_old_starts(now);
        actions_.emplace_back(start{e.w.id, p->server->info});
        return true;
    }

    void release(entry& e) {
        auto* s = std::exchange(e.server, nullptr);
        if (s == nullptr) {
            return;
        }
        s->own.running--;
        if (e.w.terms) {
            s->own.memory_tokens -= e.w.terms->memory_tokens();
            s->own.unread_tokens -= std::exchange(e.unread, 0);
        }
    }

    void start_waiting(base::time_point now) {
        while (!queue_.empty()) {
            ticket started = ticket::none;
            int looked_at = 0;
            queue_.visit([&](ticket id) {
                if (try_start(entries_.at(id), now)) {
                    started = id;
                    return false;
                }
                return ++looked_at < lookahead;
            });
            if (started == ticket::none) {
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
        if (now >= latest || now + expected_wait(e.w.urgency, now) > latest) {
            refuse_entry(e, result_code::queue_full, now);
            return;
        }
        queue_.push(e.w.id, e.w, latest);
    }

    static base::duration scaled(base::duration d, double factor) {
        return std::chrono::duration_cast<base::duration>(d * factor);
    }

    base::duration expected_wait(std::uint8_t urgency, base::time_point now) {
        drop_old_starts(now);
        if (starts_.size() < least_starts) {
            return {};
        }
        const auto ahead = static_cast<double>(queue_.ahead_of(urgency));
        return scaled(rate_window, ahead / static_cast<double>(starts_.size()));
    }

    void drop_old_starts(base::time_point now) {
        while (!starts_.empty() && now - starts_.front().at > rate_window) {
            starts_.pop_front();
        }
    }

    [[nodiscard]] double own_tokens_per_s(base::time_point now) const {
        double tokens = 0;
        for (const auto& s : starts_) {
            tokens += now - s.at <= rate_window ? static_cast<double>(s.unread_tokens) : 0;
        }
        return tokens / std::chrono::duration<double>{rate_window}.count();
    }

    void refuse_entry(entry& e, result_code code, base::time_point now) {
        const auto wait = expected_wait(e.w.urgency, now);
        const double spread =
            retry_spread * static_cast<double>(random_() % 1024) / 1024.0;  // 1024 steps are fine enough
        const auto retry = scaled(std::clamp(wait, shortest_retry, longest_retry), 1 + spread);
        const auto id = e.w.id;
        actions_.emplace_back(refuse{id, code, retry});
        queue_.erase(id);
        entries_.erase(id);
    }

    void learn_speed(const entry& e, base::time_point now) {
        if (e.server->own.unread_tokens > e.unread) {
            return;  // other prompts were read at the same time
        }
        if (const double seen = speed_.observe(e.unread, now - e.started); seen > 0) {
            reading_speed::mix(e.server->tokens_per_ms, seen);
        }
    }

    scheduler_options options_;
    base::random_function random_;
    std::optional<catalog::engine_terms> engine_;
    std::unordered_map<base::backend_server_id, std::unique_ptr<server_state>> servers_;
    std::vector<server_state*> usable_;
    std::unordered_map<base::vm_id, peer_report> peers_;
    std::unordered_map<ticket, entry> entries_;
    wait_queue queue_;
    std::deque<start_record> starts_;
    pause_watch pauses_;
    reading_speed speed_;
    std::vector<action> actions_;
};

scheduler::scheduler(scheduler_options o, base::random_function random)
    : impl_{std::make_unique<impl>(std::move(o), std::move(random))} {}
scheduler::~scheduler() = default;

void scheduler::set_engine(const std::optional<catalog::engine_terms>& terms) {
    impl_->set_engine(terms);
}

std::vector<action> scheduler::set_servers(const std::vector<catalog::backend_server>& list,
                                           base::time_point now) {
    impl_->set_servers(list, now);
    return impl_->take_actions();
}

std::vector<action> scheduler::set_peer_load(const base::vm_id& peer, const load_report& r,
                                             base::time_point valid_until, base::time_point now) {
    impl_->set_peer_load(peer, r, valid_until, now);
    return impl_->take_actions();
}

std::vector<action> scheduler::submit(work w, base::time_point now) {
    impl_->submit(std::move(w), now);
    return impl_->take_actions();
}

std::vector<action> scheduler::resubmit(ticket id, base::time_point now) {
    impl_->resubmit(id, now);
    return impl_->take_actions();
}

void scheduler::withdraw(ticket id) {
    impl_->withdraw(id);
}

void scheduler::first_output(ticket id, base::time_point now) {
    impl_->first_output(id, now);
}

void scheduler::paused_too_long(ticket id, base::time_point now) {
    impl_->paused_too_long(id, now);
}

std::vector<action> scheduler::finished(ticket id, outcome o, base::time_point now) {
    impl_->finished(id, o, now);
    return impl_->take_actions();
}

std::vector<action> scheduler::tick(base::time_point now) {
    impl_->tick(now);
    return impl_->take_actions();
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
