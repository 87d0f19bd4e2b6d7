#include "fault_plan.h"

#include "promises.h"
#include "site.h"
#include "standin/configuration.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <iostream>
#include <utility>

namespace chicorygap::soak {

namespace {

using namespace std::chrono_literals;
using standin::link_fault;
using standin::server_fault;
using standin::store_fault;

/// Time between two faults and its random part: several faults overlap most of the time.
constexpr base::duration shortest_gap = 150ms;
constexpr std::uint64_t gap_spread_ms = 900;
constexpr base::duration check_interval = 50ms;
/// A daemon that was told to stop is replaced once it has ended; it ends within its time to stop.
constexpr base::duration longest_stop = 8s;
/// A leaving server gets nothing new after the drain time, and some time for its news to arrive.
constexpr base::duration drain_bound = 3s;
/// Least number of servers of a service.
constexpr std::size_t least_servers = 2;
/// Limits that servers name, in requests per second, and for how long.
constexpr std::uint64_t highest_limit = 4;
constexpr base::duration shortest_limit = 4s;
constexpr std::uint64_t limit_spread_ms = 5000;
constexpr base::duration signal_interval = 1200ms;
/// Age of the copy that the store returns from, its random part, and the time until the next copy is taken.
constexpr base::duration shortest_copy_age = 500ms;
constexpr std::uint64_t copy_age_spread_ms = 4000;
constexpr base::duration restore_pause = 1500ms;
/// Time between two ends of servers, and how long a process is away, with its random part.
constexpr base::duration end_interval = 2500ms;
constexpr base::duration shortest_downtime = 300ms;
constexpr std::uint64_t downtime_spread_ms = 1500;

}  // namespace

fault_plan::fault_plan(net::loop& l, site& s, promises& p, base::random_function random,
                       base::random_function signal_random, base::random_function restore_random,
                       base::random_function end_random)
    : loop_{l},
      site_{s},
      promises_{p},
      random_{std::move(random)},
      signal_random_{std::move(signal_random)},
      restore_random_{std::move(restore_random)},
      end_random_{std::move(end_random)} {}

fault_plan::~fault_plan() {
    loop_.cancel(draw_timer_);
    loop_.cancel(signal_timer_);
    loop_.cancel(restore_timer_);
    loop_.cancel(end_timer_);
    loop_.cancel(check_timer_);
    for (auto& [number, timer] : timers_) {
        loop_.cancel(timer);
    }
}

void fault_plan::start() {
    check_timer_ = loop_.every(check_interval, [this] { check_processes(); });
    draw();
    draw_signal();
    draw_restore();
    draw_process_end();
}

void fault_plan::stop() {
    stopped_ = true;
    loop_.cancel(draw_timer_);
    loop_.cancel(signal_timer_);
    loop_.cancel(restore_timer_);
    loop_.cancel(end_timer_);
    for (auto& [number, timer] : timers_) {
        loop_.cancel(timer);
    }
    for (const auto& [number, revert] : std::exchange(reverts_, {})) {
        revert();
    }
    // Requests with a withdrawn key are refused rightly; whether the service is whole again shows with all
    // keys.
    site_.set_key("west", true);
    site_.configure();
}

void fault_plan::draw() {
    static constexpr std::array faults{
        &fault_plan::kill_daemon,      &fault_plan::kill_daemon,      &fault_plan::pause_daemon,
        &fault_plan::pause_daemon,     &fault_plan::stop_daemon,      &fault_plan::stop_daemon,
        &fault_plan::reload_daemon,    &fault_plan::harm_store,       &fault_plan::harm_store,
        &fault_plan::forget_history,   &fault_plan::harm_store_link,  &fault_plan::harm_store_link,
        &fault_plan::harm_caller_link, &fault_plan::harm_caller_link, &fault_plan::harm_server,
        &fault_plan::harm_server,      &fault_plan::harm_server_link, &fault_plan::harm_server_link,
        &fault_plan::crash_server,     &fault_plan::replace_server,   &fault_plan::change_configuration,
        &fault_plan::withdraw_key,     &fault_plan::harm_duties,      &fault_plan::kill_all};
    const auto f = faults[pick(faults.size())];
    // A kill of all daemons at once is rarer than the other faults.
    if (f != &fault_plan::kill_all || pick(3) == 0) {
        (this->*f)();
    }
    draw_timer_ =
        loop_.after(shortest_gap + std::chrono::milliseconds{random_() % gap_spread_ms}, [this] { draw(); });
}

// Drawn apart from the faults, so that these stay the same for each seed.
void fault_plan::draw_signal() {
    const auto id = site_.servers()[signal_random_() % site_.servers().size()].server->options().id;
    if (signal_random_() % 3 == 0) {
        announce_wait(id);
    } else {
        limit_server(id);
    }
    signal_timer_ = loop_.after(signal_interval, [this] { draw_signal(); });
}

// Takes a copy, from which the store may return some seconds later.
void fault_plan::draw_restore() {
    site_.store().save_copy();
    const auto age = shortest_copy_age + std::chrono::milliseconds{restore_random_() % copy_age_spread_ms};
    restore_timer_ = loop_.after(age, [this] {
        if (restore_random_() % 2 == 0) {
            restore_store();
        }
        restore_timer_ = loop_.after(restore_pause, [this] { draw_restore(); });
    });
}

// The process of a server ends in one of the ways of the stand-in, and another one starts.
void fault_plan::draw_process_end() {
    const auto& s = site_.servers()[end_random_() % site_.servers().size()];
    const auto how = standin::all_process_ends[end_random_() % standin::all_process_ends.size()];
    const auto downtime = shortest_downtime + std::chrono::milliseconds{end_random_() % downtime_spread_ms};
    if (!s.drained) {
        note("end", s.server->options().id + ' ' + std::string{to_string(how)});
        s.server->end_process(how, downtime);
    }
    end_timer_ = loop_.after(end_interval, [this] { draw_process_end(); });
}

void fault_plan::note(const std::string& name, const std::string& where) {
    ++applied_[name];
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(loop_.now().time_since_epoch()).count();
    std::cout << ms << " fault " << name << ' ' << where << '\n';
}

base::duration fault_plan::length(base::duration shortest, base::duration longest) {
    const auto spread = std::chrono::duration_cast<std::chrono::milliseconds>(longest - shortest).count();
    return shortest + std::chrono::milliseconds{random_() % static_cast<std::uint64_t>(spread + 1)};
}

void fault_plan::revert_after(base::duration d, std::function<void()> revert) {
    const auto number = next_revert_++;
    reverts_[number] = std::move(revert);
    timers_[number] = loop_.after(d, [this, number] {
        timers_.erase(number);
        const auto it = reverts_.find(number);
        if (it != reverts_.end()) {
            const auto f = std::move(it->second);
            reverts_.erase(it);
            f();
        }
    });
}

void fault_plan::begin_daemon_fault(std::size_t daemon) {
    ++site_.daemons()[daemon].faults;
}

void fault_plan::end_daemon_fault(std::size_t daemon) {
    --site_.daemons()[daemon].faults;
    site_.daemons()[daemon].calm_since = loop_.now();
}

void fault_plan::check_processes() {
    for (auto& d : site_.daemons()) {
        if (d.stopping && !d.process->running()) {
            d.stopping = false;
            d.calm_since = loop_.now();
            d.process->start();
        } else if (d.stopping && loop_.now() - d.stop_sent > longest_stop && d.faults == 0) {
            promises_.report(d.process->options().vm + " did not end after SIGTERM");
            d.process->kill();
        } else if (!d.stopping && d.faults == 0 && !d.process->running()) {
            promises_.report(d.process->options().vm + " ended by itself, status " +
                             std::to_string(d.process->last_wait_status()));
            d.process->start();
            d.calm_since = loop_.now();
        }
    }
}

void fault_plan::kill_for(std::size_t daemon, base::duration d) {
    begin_daemon_fault(daemon);
    site_.daemons()[daemon].process->kill();
    revert_after(d, [this, daemon] {
        if (!site_.daemons()[daemon].process->running()) {
            site_.daemons()[daemon].process->start();
        }
        end_daemon_fault(daemon);
    });
}

void fault_plan::kill_daemon() {
    const auto i = pick(site_.daemons().size());
    if (site_.daemons()[i].stopping) {
        return;
    }
    note("kill", site_.daemons()[i].process->options().vm);
    kill_for(i, length(200ms, 2s));
}

void fault_plan::kill_all() {
    note("kill-all", "");
    for (std::size_t i = 0; i < site_.daemons().size(); ++i) {
        site_.daemons()[i].stopping = false;
        kill_for(i, length(200ms, 1s));
    }
}

void fault_plan::pause_daemon() {
    const auto i = pick(site_.daemons().size());
    note("pause", site_.daemons()[i].process->options().vm);
    begin_daemon_fault(i);
    site_.daemons()[i].process->signal(SIGSTOP);
    revert_after(length(300ms, 4s), [this, i] {
        site_.daemons()[i].process->signal(SIGCONT);
        end_daemon_fault(i);
    });
}

void fault_plan::stop_daemon() {
    auto& d = site_.daemons()[pick(site_.daemons().size())];
    if (d.stopping || d.faults > 0 || !d.process->running()) {
        return;
    }
    note("stop", d.process->options().vm);
    d.stopping = true;
    d.stop_sent = loop_.now();
    d.process->signal(SIGTERM);
}

void fault_plan::reload_daemon() {
    const auto& d = site_.daemons()[pick(site_.daemons().size())];
    note("reload", d.process->options().vm);
    d.process->signal(SIGHUP);
}

void fault_plan::harm_store() {
    static constexpr std::array faults{store_fault::unavailable, store_fault::no_response,
                                       store_fault::drop_response};
    note("store", "");
    ++site_.store_faults;
    site_.store().set_fault(faults[pick(faults.size())]);
    revert_after(length(300ms, 3s), [this] {
        if (--site_.store_faults == 0) {
            site_.store().set_fault(store_fault::none);
            site_.store_calm_since = loop_.now();
        }
    });
}

void fault_plan::forget_history() {
    note("history", "");
    site_.store().discard_history();
}

void fault_plan::restore_store() {
    note("restore", "");
    ++site_.store_faults;
    site_.store().set_fault(store_fault::unavailable);
    revert_after(std::chrono::milliseconds{200 + restore_random_() % 1500}, [this] {
        site_.store().return_from_copy();
        site_.write_again();
        if (--site_.store_faults == 0) {
            site_.store().set_fault(store_fault::none);
            site_.store_calm_since = loop_.now();
        }
    });
}

void fault_plan::harm_store_link() {
    static constexpr std::array faults{link_fault::delay, link_fault::drop_forward, link_fault::drop_backward,
                                       link_fault::drop_all, link_fault::refuse_connections};
    const auto i = pick(site_.daemons().size());
    auto& link = *site_.daemons()[i].to_store;
    note("store-link", site_.daemons()[i].process->options().vm);
    begin_daemon_fault(i);
    link.set_delay(length(10ms, 400ms));
    link.set_fault(faults[pick(faults.size())]);
    revert_after(length(300ms, 4s), [this, i] {
        site_.daemons()[i].to_store->set_fault(link_fault::none);
        end_daemon_fault(i);
    });
}

void fault_plan::harm_caller_link() {
    static constexpr std::array faults{link_fault::delay, link_fault::drop_forward, link_fault::drop_backward,
                                       link_fault::drop_all};
    const auto i = pick(site_.daemons().size());
    auto& link = *site_.daemons()[i].from_callers;
    note("caller-link", site_.daemons()[i].process->options().vm);
    begin_daemon_fault(i);
    if (pick(2) == 0) {
        link.close_connections();
    } else {
        link.set_delay(length(5ms, 100ms));
        link.set_fault(faults[pick(faults.size())]);
    }
    revert_after(length(200ms, 2s), [this, i] {
        site_.daemons()[i].from_callers->set_fault(link_fault::none);
        end_daemon_fault(i);
    });
}

void fault_plan::harm_server() {
    static constexpr std::array faults{server_fault::internal_error, server_fault::overloaded,
                                       server_fault::no_response, server_fault::abort_response,
                                       server_fault::drop_response};
    const auto id = site_.servers()[pick(site_.servers().size())].server->options().id;
    note("server", id);
    const auto set = [this, id](server_fault f) {
        for (auto& s : site_.servers()) {
            if (s.server->options().id == id) {
                s.server->set_fault(f);
            }
        }
    };
    set(faults[pick(faults.size())]);
    revert_after(length(300ms, 3s), [set] { set(server_fault::none); });
}

void fault_plan::harm_server_link() {
    static constexpr std::array faults{link_fault::delay, link_fault::drop_forward, link_fault::drop_backward,
                                       link_fault::drop_all, link_fault::refuse_connections};
    const auto id = site_.servers()[pick(site_.servers().size())].server->options().id;
    note("server-link", id);
    const auto set = [this, id](link_fault f, base::duration delay) {
        for (auto& s : site_.servers()) {
            if (s.server->options().id == id) {
                s.link->set_delay(delay);
                s.link->set_fault(f);
            }
        }
    };
    set(faults[pick(faults.size())], length(10ms, 200ms));
    revert_after(length(300ms, 3s), [set] { set(link_fault::none, {}); });
}

site_server* fault_plan::find_server(const std::string& id) {
    const auto it = std::find_if(site_.servers().begin(), site_.servers().end(),
                                 [&](const auto& s) { return s.server->options().id == id; });
    return it == site_.servers().end() ? nullptr : &*it;
}

void fault_plan::limit_server(const std::string& id) {
    if (!limited_servers_.insert(id).second) {
        return;
    }
    const auto limit = static_cast<double>(signal_random_() % (highest_limit + 1));
    note("limit", id + ' ' + std::to_string(limit));
    find_server(id)->server->set_response_field("Server-Limit", std::to_string(limit));
    const auto begin = loop_.now();
    const auto spread = std::chrono::milliseconds{signal_random_() % limit_spread_ms};
    revert_after(shortest_limit + spread, [this, id, begin, limit] {
        limited_servers_.erase(id);
        const auto* s = find_server(id);
        if (s == nullptr) {
            return;
        }
        // A new process of the server names its limit anew.
        auto process_begin = begin;
        auto process_ends = s->server->restarts();
        process_ends.push_back(loop_.now());
        const auto& all = s->server->arrivals();
        for (const auto& end : process_ends) {
            const std::vector<base::time_point> arrivals{
                std::lower_bound(all.begin(), all.end(), process_begin),
                std::lower_bound(all.begin(), all.end(), std::max(process_begin, end))};
            if (!arrivals.empty()) {
                promises_.check_limit(id, arrivals, arrivals.front(), limit);
            }
            process_begin = std::max(process_begin, end);
        }
        s->server->set_response_field("Server-Limit", "");
    });
}

void fault_plan::announce_wait(const std::string& id) {
    note("wait", id);
    const auto set = [this, id](server_fault f, const std::string& seconds) {
        if (const auto* s = find_server(id)) {
            s->server->set_fault(f);
            s->server->set_response_field("Retry-After", seconds);
        }
    };
    set(server_fault::overloaded, "1.5");
    revert_after(std::chrono::milliseconds{300 + signal_random_() % 1700},
                 [set] { set(server_fault::none, ""); });
}

void fault_plan::crash_server() {
    auto& s = site_.servers()[pick(site_.servers().size())];
    note("crash", s.server->options().id);
    s.server->crash();
    s.link->close_connections();
}

void fault_plan::replace_server() {
    const auto i = pick(site_.servers().size());
    auto& old = site_.servers()[i];
    const auto service = old.server->options().service;
    const auto id = old.server->options().id;
    std::size_t staying = 0;
    for (const auto& s : site_.servers()) {
        staying += s.server->options().service == service && !s.drained ? 1 : 0;
    }
    if (old.drained || staying <= least_servers) {
        return;
    }
    note("replace", id);
    old.drained = loop_.now();
    old.server->drain();
    site_.add_server(service);
    revert_after(drain_bound + 2s, [this, id] {
        for (std::size_t k = 0; k < site_.servers().size(); ++k) {
            if (site_.servers()[k].server->options().id == id) {
                site_.servers()[k].server->deregister();
                site_.remove_server(k);
                return;
            }
        }
    });
}

void fault_plan::change_configuration() {
    note("configuration", "");
    site_.configure();
}

void fault_plan::withdraw_key() {
    note("key", "west");
    site_.set_key("west", !site_.key_granted("west"));
    site_.configure();
}

void fault_plan::harm_duties() {
    note("duties", "");
    site_.duties().set_drop_responses(true);
    revert_after(length(300ms, 3s), [this] { site_.duties().set_drop_responses(false); });
}

}  // namespace chicorygap::soak
