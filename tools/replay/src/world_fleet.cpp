#include "dispatch/dispatcher.h"
#include "world.h"

#include <algorithm>
#include <utility>

namespace chicorygap::replay {

namespace {

constexpr double notice_lag = 0.5;       // until daemons of the zone know that a server is leaving
constexpr double daemon_start_time = 2;  // until a replaced daemon receives requests
constexpr double gossip_lag = 0.05;

base::duration seconds(double s) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>{s});
}

/// The product's decision code behind the interface of the baselines.
class core_policy : public daemon_policy {
public:
    core_policy(dispatch::options o, base::random_function random) : core_{std::move(o), std::move(random)} {}
    std::vector<dispatch::action> handle(const dispatch::event& e, base::time_point now) override {
        return core_.handle(e, now);
    }
    dispatch::dispatcher& core() { return core_; }

private:
    dispatch::dispatcher core_;
};

admission::policy admission_policy(const trace& t, const std::string& service) {
    admission::policy p;
    for (const auto& c : t.classes) {
        if (c.service == service) {
            p.classes.push_back({base::class_id{c.name}, base::tier{static_cast<std::uint8_t>(c.tier)}});
        }
    }
    for (const auto& w : t.workspaces) {
        p.workspaces.push_back(
            {base::workspace_id{w.name}, w.weight, {w.requests_per_s, w.tokens_per_s, w.concurrency}});
    }
    return p;
}

}  // namespace

std::unique_ptr<daemon_policy> simulation::world::make_policy(const std::string& service, const daemon& d) {
    base::random_function random = [this] { return random_(); };
    if (kind_ == policy_kind::chicorygap) {
        dispatch::options o;
        o.routing.self = base::vm_id{d.name};
        o.routing.zone = base::zone_id{d.zone};
        o.policy = admission_policy(trace_, service);
        return std::make_unique<core_policy>(std::move(o), std::move(random));
    }
    std::map<std::string, int> tiers;
    for (const auto& c : trace_.classes) {
        tiers[c.name] = c.tier;
    }
    const auto kind = kind_ == policy_kind::first_come_random
                          ? baseline_kind::first_come_random
                          : baseline_kind::strict_priority_least_connections;
    return std::make_unique<baseline>(kind, std::move(tiers), std::move(random));
}

void simulation::world::add_daemon(const std::string& zone) {
    daemon d;
    d.name = zone + "-daemon-" + std::to_string(daemons_.size());
    d.zone = zone;
    for (const auto& s : trace_.servers) {
        if (!d.services.contains(s.service)) {
            d.services[s.service] = make_policy(s.service, d);
        }
    }
    daemons_.push_back(std::move(d));
    // The first list of a daemon comes from its peers and is current.
    announce_servers(daemons_.size() - 1, 0);
}

void simulation::world::announce_fleet() {
    for (std::size_t d = 0; d < daemons_.size(); ++d) {
        routing::peers_changed peers;
        for (const auto& o : daemons_) {
            if (o.accepting && reachable(daemons_[d].zone, o.zone)) {
                peers.peers.push_back({base::vm_id{o.name}, base::zone_id{o.zone}});
            }
        }
        send_all(d, routing::event{peers});
        const auto fleet =
            std::count_if(daemons_.begin(), daemons_.end(), [](const auto& o) { return o.accepting; });
        for (const auto& w : trace_.workspaces) {
            send_all(d, admission::limit_share_changed{base::workspace_id{w.name},
                                                       1.0 / static_cast<double>(fleet)});
        }
    }
}

std::vector<routing::server_info> simulation::world::servers_of(const std::string& service) const {
    std::vector<routing::server_info> out;
    for (const auto& e : engines_) {
        const auto& s = e.server();
        if (s.service == service && e.present) {
            out.push_back({base::backend_server_id{s.name},
                           base::zone_id{s.zone},
                           s.slots,
                           s.speed,
                           s.cost,
                           s.reclaimable,
                           e.leaving,
                           {}});
        }
    }
    return out;
}

void simulation::world::announce_servers(std::size_t d, double lag) {
    for (const auto& [service, p] : daemons_[d].services) {
        const routing::event e = routing::servers_changed{servers_of(service)};
        at(time_ + lag, [this, d, service = service, e] {
            if (daemons_[d].running) {
                send(d, service, e);
            }
        });
    }
}

void simulation::world::report_loads() {
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        const engine& e = engines_[i];
        auto& history = samples_[i];
        if (!reports_stale_) {
            history.push_back({time_, static_cast<int>(e.running().size()), static_cast<int>(e.queued())});
        }
        while (history.size() > 1 && history[1].at <= time_ - trace_.report_lag + 1e-9) {
            history.pop_front();
        }
        if (!e.present || !e.alive || history.empty()) {
            continue;
        }
        const load_sample s = history.front();
        const routing::event report = routing::load_reported{base::backend_server_id{e.server().name},
                                                             s.running, s.queued, seconds(time_ - s.at)};
        for (std::size_t d = 0; d < daemons_.size(); ++d) {
            if (daemons_[d].running && reachable(daemons_[d].zone, e.server().zone)) {
                send(d, e.server().service, report);
            }
        }
    }
}

void simulation::world::gossip() {
    if (kind_ != policy_kind::chicorygap) {
        return;
    }
    constexpr std::size_t digest_limit = 64;
    for (std::size_t from = 0; from < daemons_.size(); ++from) {
        for (const auto& [service, p] : daemons_[from].services) {
            const auto& core = static_cast<core_policy&>(*p).core();
            const routing::event loads = routing::peer_load_reported{
                base::vm_id{daemons_[from].name}, core.load_digest(digest_limit), seconds(gossip_lag)};
            for (std::size_t to = 0; to < daemons_.size(); ++to) {
                if (to != from && daemons_[to].running && reachable(daemons_[from].zone, daemons_[to].zone)) {
                    send(to, service, loads);
                }
            }
        }
    }
    for (std::size_t d = 0; d < daemons_.size(); ++d) {
        for (const auto& [service, p] : daemons_[d].services) {
            base::tier level{base::tier_count - 1};
            for (std::size_t o = 0; o < daemons_.size(); ++o) {
                if (o != d && daemons_[o].running && daemons_[o].zone == daemons_[d].zone) {
                    const auto& core = static_cast<core_policy&>(*daemons_[o].services.at(service)).core();
                    const auto own = core.snapshot(now()).admission.pressure;
                    level = own.outranks(level) ? own : level;
                }
            }
            send(d, service, admission::pressure_changed{level});
        }
    }
}

bool simulation::world::reachable(const std::string& a, const std::string& b) const {
    return a == b || (a != partitioned_zone_ && b != partitioned_zone_);
}

std::size_t simulation::world::server_index(const std::string& name) const {
    const auto it = std::find_if(engines_.begin(), engines_.end(),
                                 [&](const auto& e) { return e.server().name == name; });
    return static_cast<std::size_t>(it - engines_.begin());
}

void simulation::world::apply(const trace_fault& f) {
    const double end = f.time + f.duration;
    switch (f.kind) {
        case fault_kind::slow: {
            engine& e = engines_[server_index(f.target)];
            e.slow_factor = f.factor;
            at(end, [&e] { e.slow_factor = 1; });
            return;
        }
        case fault_kind::crash:
            return crash(server_index(f.target), true, f.duration);
        case fault_kind::reclaim:
            return reclaim(f);
        case fault_kind::partition:
            partitioned_zone_ = f.target;
            at(end, [this] {
                partitioned_zone_.clear();
                announce_fleet();
            });
            // Membership needs its suspicion time before the peers count as lost.
            return at(f.time + 4, [this] { announce_fleet(); });
        case fault_kind::platform_down:
            platform_down_ = true;
            return at(end, [this] { platform_down_ = false; });
        case fault_kind::stale_reports:
            reports_stale_ = true;
            return at(end, [this] { reports_stale_ = false; });
        case fault_kind::stall:
            for (auto& [key, a] : attempts_) {
                a.stalled = a.stalled || engines_[a.server].server().name == f.target;
            }
            return;
        case fault_kind::leave_server:
            return leave_server(server_index(f.target));
        case fault_kind::add_server: {
            engine& e = engines_[server_index(f.target)];
            e.present = true;
            e.alive = true;
            e.leaving = false;
            return;
        }
        case fault_kind::replace_daemon:
            return replace_daemon(f);
    }
}

void simulation::world::crash(std::size_t server, bool comes_back, double duration) {
    engine& e = engines_[server];
    e.alive = false;
    e.clear();
    std::vector<std::uint64_t> lost;
    for (const auto& [key, a] : attempts_) {
        if (a.server == server) {
            lost.push_back(key);
        }
    }
    for (const auto key : lost) {
        end_attempt(key, base::result_code::backend_failed, true);
    }
    if (comes_back) {
        at(time_ + duration, [&e] { e.alive = true; });
    }
}

void simulation::world::announce_leaving(std::size_t server) {
    const routing::event e =
        routing::server_draining{base::backend_server_id{engines_[server].server().name}};
    const std::string service = engines_[server].server().service;
    at(time_ + notice_lag, [this, server, service, e] {
        for (std::size_t d = 0; d < daemons_.size(); ++d) {
            if (daemons_[d].running && reachable(daemons_[d].zone, engines_[server].server().zone)) {
                send(d, service, e);
            }
        }
    });
}

void simulation::world::reclaim(const trace_fault& f) {
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        if (engines_[i].server().zone == f.target && engines_[i].server().reclaimable) {
            engines_[i].leaving = true;
            announce_leaving(i);
            at(f.time + f.duration, [this, i] {
                crash(i, false, 0);
                engines_[i].present = false;
            });
        }
    }
}

void simulation::world::leave_server(std::size_t server) {
    engines_[server].leaving = true;
    announce_leaving(server);
    // The VM goes when its running requests have ended, at the latest after the drain limit.
    constexpr double drain_limit = 60;
    const double limit = time_ + drain_limit;
    auto check = std::make_shared<std::function<void()>>();
    *check = [this, server, limit, weak = std::weak_ptr{check}] {
        engine& e = engines_[server];
        if (!e.leaving) {
            return;
        }
        if ((e.running().empty() && e.queued() == 0) || time_ >= limit) {
            crash(server, false, 0);
            e.present = false;
            return;
        }
        at(time_ + 0.5, [self = weak.lock()] { (*self)(); });
    };
    // Notice must have arrived before an idle server may go.
    at(time_ + 2, [check] { (*check)(); });
}

void simulation::world::replace_daemon(const trace_fault& f) {
    const std::size_t old = std::stoul(f.target) % daemons_.size();
    daemons_[old].accepting = false;  // running requests complete on the old VM
    const std::string zone = daemons_[old].zone;
    at(time_ + daemon_start_time, [this, zone] {
        add_daemon(zone);
        announce_fleet();
    });
}

}  // namespace chicorygap::replay
