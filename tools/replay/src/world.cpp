#include "world.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace chicorygap::replay {

namespace {

constexpr double step = 0.01;              // seconds
constexpr double progress_interval = 0.1;  // tokens are passed to the caller this often
constexpr double tick_interval = 0.05;
constexpr double report_interval = 0.5;
constexpr double gossip_interval = 1;
constexpr double list_interval = 1;
constexpr double list_lag = 2;  // by which the platform's server list is late
constexpr double connect_timeout = 0.5;
constexpr double first_byte_timeout = 10;
constexpr double token_gap_timeout = 2;
constexpr double longest_tail = 120;  // after the trace's end, for requests that still run

base::duration seconds(double s) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>{s});
}

base::request_id name_of(std::size_t request) {
    return base::request_id{std::to_string(request)};
}

std::size_t index_of(const base::request_id& id) {
    std::size_t out = 0;
    std::from_chars(id.str().data(), id.str().data() + id.str().size(), out);
    return out;
}

// True once per interval, for the step that begins at `time`.
bool due(double time, double interval) {
    const auto before = static_cast<std::int64_t>((time - step + 1e-9) / interval);
    return time < step || static_cast<std::int64_t>((time + 1e-9) / interval) != before;
}

}  // namespace

simulation::world::world(const trace& t, policy_kind k)
    : trace_{t}, kind_{k}, random_{t.seed}, balancer_{t.seed + 1}, requests_(t.arrivals.size()) {
    for (const auto& s : t.servers) {
        engines_.emplace_back(s);
    }
    samples_.resize(engines_.size());
    for (const auto& z : t.zones) {
        for (int i = 0; i < z.daemons; ++i) {
            add_daemon(z.name);
        }
    }
    announce_fleet();
    for (std::size_t i = 0; i < t.arrivals.size(); ++i) {
        at(t.arrivals[i].time, [this, i] { arrive(i); });
    }
    for (const auto& f : t.faults) {
        at(f.time, [this, &f] { apply(f); });
    }
}

base::time_point simulation::world::now() const {
    return base::time_point{seconds(1000 + time_)};
}

void simulation::world::at(double time, std::function<void()> run) {
    timeline_.push({time, order_++, std::move(run)});
}

std::vector<class_metrics> simulation::world::run() {
    while (time_ < trace_.duration || (open_ > 0 && time_ < trace_.duration + longest_tail)) {
        while (!timeline_.empty() && timeline_.top().at <= time_ + 1e-9) {
            const auto run = timeline_.top().run;
            timeline_.pop();
            run();
        }
        advance_engines();
        check_timeouts();
        if (due(time_, report_interval)) {
            report_loads();
        }
        if (due(time_, gossip_interval)) {
            gossip();
        }
        for (std::size_t d = 0; d < daemons_.size(); ++d) {
            if (due(time_, list_interval) && !platform_down_ && daemons_[d].zone != partitioned_zone_) {
                announce_servers(d, list_lag);
            }
            if (due(time_, tick_interval) && daemons_[d].running) {
                send_all(d, dispatch::tick{});
            }
        }
        time_ += step;
    }
    std::vector<request_result> results;
    for (std::size_t i = 0; i < requests_.size(); ++i) {
        results.push_back(requests_[i].result);
        results.back().arrival = i;
    }
    std::vector<double> work(trace_.classes.size());
    for (const auto& e : engines_) {
        for (std::size_t c = 0; c < work.size(); ++c) {
            work[c] += e.work_of(c);
        }
    }
    return compute_metrics(trace_, results, work, server_seconds_);
}

void simulation::world::arrive(std::size_t arrival) {
    const auto& a = trace_.arrivals[arrival];
    const auto& c = class_of(arrival);
    std::vector<std::size_t> targets;
    for (std::size_t d = 0; d < daemons_.size(); ++d) {
        if (daemons_[d].accepting) {
            targets.push_back(d);
        }
    }
    request& r = requests_[arrival];
    r.daemon = targets[balancer_() % targets.size()];
    const bool platform_reachable = !platform_down_ && daemons_[r.daemon].zone != partitioned_zone_;
    if (!c.idempotent && !platform_reachable) {
        // The at-most-once permit cannot be granted; every policy refuses the same requests.
        r.result.refused = true;
        r.done = true;
        return;
    }
    ++open_;
    dispatch::submit_request s;
    s.id = name_of(arrival);
    s.service_class = base::class_id{c.name};
    s.workspace = base::workspace_id{trace_.workspaces[a.workspace].name};
    s.prompt_tokens = a.prompt_tokens;
    const double prefill = static_cast<double>(a.prompt_tokens) / engine::prefill_rate + 0.1;
    s.start_deadline = now() + seconds(std::max(a.deadline - prefill, 0.05));
    s.deadline = now() + seconds(c.patience);
    s.idempotent = c.idempotent;
    s.resumable = c.idempotent;
    s.urgent = c.tier == 0;
    at(a.time + c.patience, [this, arrival] { leave_impatient(arrival); });
    send(r.daemon, c.service, s);
}

void simulation::world::leave_impatient(std::size_t i) {
    if (!requests_[i].done && !requests_[i].result.first_token) {
        send(requests_[i].daemon, class_of(i).service, dispatch::cancel_request{name_of(i)});
        // A request without an attempt in flight ends silently.
        const bool in_flight = std::any_of(attempts_.begin(), attempts_.end(),
                                           [i](const auto& a) { return a.second.request == i; });
        if (!in_flight && !requests_[i].done) {
            requests_[i].done = true;
            --open_;
        }
    }
}

void simulation::world::send(std::size_t d, const std::string& service, const dispatch::event& e) {
    const auto actions = daemons_[d].services.at(service)->handle(e, now());
    for (const auto& a : actions) {
        std::visit([&](const auto& v) { apply(d, v); }, a);
    }
}

void simulation::world::send_all(std::size_t d, const dispatch::event& e) {
    for (const auto& [service, p] : daemons_[d].services) {
        send(d, service, e);
    }
}

void simulation::world::apply(std::size_t d, const dispatch::start_attempt& a) {
    const std::uint64_t key = next_attempt_++;
    attempt x;
    x.request = index_of(a.request);
    x.number = a.attempt;
    x.daemon = d;
    x.server = server_index(a.server.str());
    x.started = time_;
    x.last_token = time_;
    attempts_[key] = x;
    attempt_keys_[{x.request, x.number}] = key;
    engine& e = engines_[x.server];
    if (!reachable(daemons_[d].zone, e.server().zone)) {
        at(time_ + connect_timeout,
           [this, key] { end_attempt(key, base::result_code::connect_failed, false); });
        return;
    }
    if (!e.alive || !e.present) {
        at(time_ + step, [this, key] { end_attempt(key, base::result_code::connect_failed, false); });
        return;
    }
    const auto& arrival = trace_.arrivals[x.request];
    engine_run r;
    r.attempt = key;
    r.service_class = arrival.service_class;
    r.priority = kind_ == policy_kind::first_come_random ? 0 : class_of(x.request).tier;
    r.prefill_left = static_cast<double>(arrival.prompt_tokens) + static_cast<double>(a.resume_tokens);
    r.output_left = static_cast<double>(arrival.output_tokens) - static_cast<double>(a.resume_tokens);
    e.add(r);
}

void simulation::world::apply(std::size_t /*d*/, const dispatch::cancel_attempt& a) {
    const auto it = attempt_keys_.find({index_of(a.request), a.attempt});
    if (it == attempt_keys_.end()) {
        return;
    }
    const auto key = it->second;
    const auto reason = a.reason;
    engines_[attempts_.at(key).server].remove(key);
    at(time_ + step, [this, key, reason] { end_attempt(key, reason, true); });
}

void simulation::world::apply(std::size_t /*d*/, const dispatch::reject& a) {
    request& r = requests_[index_of(a.request)];
    r.result.refused = true;
    open_ -= r.done ? 0 : 1;
    r.done = true;
}

void simulation::world::apply(std::size_t /*d*/, const dispatch::complete& a) {
    request& r = requests_[index_of(a.request)];
    r.result.completed = true;
    open_ -= r.done ? 0 : 1;
    r.done = true;
}

void simulation::world::end_attempt(std::uint64_t key, base::result_code code, bool sent) {
    const auto it = attempts_.find(key);
    if (it == attempts_.end()) {
        return;
    }
    const attempt a = it->second;
    engines_[a.server].remove(key);
    attempts_.erase(it);
    attempt_keys_.erase({a.request, a.number});
    request& r = requests_[a.request];
    send(a.daemon, class_of(a.request).service,
         dispatch::attempt_result{name_of(a.request), a.number, code, sent, seconds(time_ - a.started)});
    if (code == base::result_code::caller_gone && !r.done) {
        r.done = true;
        --open_;
    }
}

void simulation::world::advance_engines() {
    std::vector<std::uint64_t> ended;
    for (auto& e : engines_) {
        if (!e.present) {
            continue;
        }
        server_seconds_ += time_ < trace_.duration ? step : 0;
        if (e.alive) {
            const auto v = e.advance(step);
            ended.insert(ended.end(), v.begin(), v.end());
        }
    }
    for (auto& [key, a] : attempts_) {
        pass_tokens(key, a);
    }
    for (const auto key : ended) {
        const auto it = attempts_.find(key);
        if (it != attempts_.end() && !it->second.stalled &&
            reachable(daemons_[it->second.daemon].zone, engines_[it->second.server].server().zone)) {
            end_attempt(key, base::result_code::ok, true);
        } else {
            for (auto& e : engines_) {
                e.remove(key);
            }
        }
    }
}

void simulation::world::pass_tokens(std::uint64_t key, attempt& a) {
    const engine_run* run = engines_[a.server].find(key);
    if (run == nullptr || a.stalled ||
        !reachable(daemons_[a.daemon].zone, engines_[a.server].server().zone)) {
        return;
    }
    const auto generated = static_cast<std::uint64_t>(run->generated + 1e-6);
    const bool ended = run->output_left <= 1e-9;
    const bool first = a.delivered == 0 && generated > 0;
    if (generated == a.delivered || (!first && !ended && time_ - a.last_token < progress_interval)) {
        return;
    }
    const auto tokens = generated - a.delivered;
    a.delivered = generated;
    a.last_token = time_;
    request& r = requests_[a.request];
    r.delivered += tokens;
    if (!r.result.first_token) {
        r.result.first_token = time_ - trace_.arrivals[a.request].time;
    }
    const dispatch::attempt_progress e{name_of(a.request), a.number, tokens};
    const auto actions = daemons_[a.daemon].services.at(class_of(a.request).service)->handle(e, now());
    for (const auto& action : actions) {
        // Actions may add or end attempts, so they run after this pass over the attempts.
        at(time_, [this, d = a.daemon, action] { std::visit([&](const auto& v) { apply(d, v); }, action); });
    }
}

void simulation::world::check_timeouts() {
    std::vector<std::pair<std::uint64_t, base::result_code>> late;
    for (const auto& [key, a] : attempts_) {
        if (a.delivered == 0 && time_ - a.started > first_byte_timeout) {
            late.emplace_back(key, base::result_code::first_byte_timeout);
        } else if (a.delivered > 0 && time_ - a.last_token > token_gap_timeout) {
            late.emplace_back(key, base::result_code::token_gap_timeout);
        }
    }
    for (const auto& [key, code] : late) {
        end_attempt(key, code, true);
    }
}

std::string_view to_string(policy_kind k) noexcept {
    switch (k) {
        case policy_kind::chicorygap:
            return "chicorygap";
        case policy_kind::first_come_random:
            return "first_come_random";
        case policy_kind::strict_priority_least_connections:
            break;
    }
    return "strict_least_connections";
}

simulation::simulation(const trace& t, policy_kind k) : world_{std::make_unique<world>(t, k)} {}
simulation::~simulation() = default;

std::vector<class_metrics> simulation::run() {
    return world_->run();
}

}  // namespace chicorygap::replay
