/// @file
/// Simulated fleet whose daemons send requests to servers that become cold.
#pragma once

#include "backpressure/signal_table.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace chicorygap::backpressure {

/// Simulated fleet: each request goes to the server that looks idlest to its daemon, which is the one that
/// became cold last, or to another one that its daemon's table allows, or waits. Entries of cold servers are
/// written again every 1.2 s, and each daemon reads the list up to 2 s late.
///
/// Usage: `warmup_fleet f{options}; f.run(5s); f.replace(0); f.run(5s); f.most_cold_arrivals();`
class warmup_fleet {
public:
    struct options {
        std::size_t daemons = 6;
        std::size_t servers = 6;
        std::size_t zones = 3;
        double requests_per_s = 5;  ///< of each daemon
        base::duration list_delay = std::chrono::seconds{2};
        std::uint64_t seed = 1;
    };
    static constexpr base::duration cold_time = std::chrono::seconds{3};

    explicit warmup_fleet(options o) : options_{o}, random_{o.seed} {
        for (std::size_t i = 0; i < o.servers; ++i) {
            servers_.emplace_back();
            servers_[i].entry.id = base::backend_server_id{"server" + std::to_string(i)};
            servers_[i].entry.service = service;
            servers_[i].entry.zone = zone_of(i);
        }
        for (std::size_t i = 0; i < o.daemons; ++i) {
            daemons_.emplace_back();
            restart(i, now_ - std::chrono::hours{1});
            daemons_[i].next_beacon = now_ + beacon_interval() * static_cast<int>(i) / 9;
        }
    }

    /// @return true if beacons between two daemons are lost.
    std::function<bool(std::size_t, std::size_t)> cut = [](std::size_t, std::size_t) { return false; };
    double load = 1;  ///< factor on the requests of callers
    /// Requests per second of the first daemon whose prompts are cached on the first server, besides others.
    double hot_requests_per_s = 0;

    /// Replaces a daemon by a new process that knows nothing.
    void restart(std::size_t i, base::time_point started_at) {
        auto& d = daemons_[i];
        d.table =
            std::make_unique<signal_table>(base::vm_id{"vm" + std::to_string(i)}, zone_of(i), started_at);
        d.table->set_fleet({.within_zones = within_zones(),
                            .settle_time = beacon_interval() * 2 + std::chrono::milliseconds{100},
                            .silence_time = beacon_interval() * 5 + std::chrono::milliseconds{450},
                            .known_daemons = known_daemons(i)});
        d.table->set_warmups(warmup_bounds{1.5, 5}, {{service, {cold_time, 10}}}, now_);
        d.list = entries();
        d.table->set_servers(d.list, now_);
    }
    void restart(std::size_t i) { restart(i, now_); }

    /// Replaces a server by a new instance with an entry of its own.
    void replace(std::size_t i) {
        ++servers_[i].entry.incarnation;
        make_cold(i);
    }
    /// A server becomes cold, and its entry says so the next time that it is written.
    /// @param written_after time until its entry says so.
    void make_cold(std::size_t i, base::duration written_after = {}) {
        servers_[i].cold_until = now_ + cold_time;
        servers_[i].became_cold_at = now_;
        servers_[i].next_write = now_ + written_after;
        write_entry(servers_[i]);
    }

    void run(base::duration d) {
        for (const auto end = now_ + d; now_ < end; now_ += step) {
            for (auto& s : servers_) {
                write_entry(s);
            }
            for (std::size_t i = 0; i < daemons_.size(); ++i) {
                step_daemon(i);
            }
            while (!pending_.empty() && pending_.begin()->first <= now_) {
                const auto action = std::move(pending_.begin()->second);
                pending_.erase(pending_.begin());
                action();
            }
        }
    }

    /// @return most requests that one server got within one second while it was cold.
    [[nodiscard]] std::ptrdiff_t most_cold_arrivals() const {
        std::ptrdiff_t most = 0;
        for (const auto& s : servers_) {
            const std::vector<base::time_point> list{s.cold_arrivals.begin(), s.cold_arrivals.end()};
            for (auto it = list.begin(); it != list.end(); ++it) {
                const auto end = std::lower_bound(it, list.end(), *it + std::chrono::seconds{1});
                most = std::max(most, end - it);
            }
        }
        return most;
    }
    [[nodiscard]] std::size_t cold_arrivals() const {
        std::size_t n = 0;
        for (const auto& s : servers_) {
            n += s.cold_arrivals.size();
        }
        return n;
    }
    /// @return requests that wait in the daemons.
    [[nodiscard]] std::size_t waiting() const {
        std::size_t n = 0;
        for (const auto& d : daemons_) {
            n += d.waiting;
        }
        return n;
    }

private:
    static constexpr base::duration step = std::chrono::milliseconds{5};
    inline static const base::service_id service{"s"};

    struct server {
        catalog::backend_server entry;
        base::time_point cold_until;
        base::time_point became_cold_at;
        base::time_point next_write;
        std::multiset<base::time_point> cold_arrivals;
    };
    struct daemon {
        std::unique_ptr<signal_table> table;
        std::vector<catalog::backend_server> list;
        base::time_point next_beacon;
        std::size_t waiting = 0;
    };

    [[nodiscard]] bool within_zones() const { return options_.daemons > 12; }
    [[nodiscard]] base::zone_id zone_of(std::size_t i) const {
        return base::zone_id{"z" + std::to_string(i % options_.zones)};
    }
    [[nodiscard]] std::size_t known_daemons(std::size_t i) const {
        const auto n = options_.daemons;
        return within_zones() ? n / options_.zones + (i % options_.zones < n % options_.zones ? 1 : 0) : n;
    }
    [[nodiscard]] base::duration beacon_interval() const {
        const auto zone_size = static_cast<int>(within_zones() ? known_daemons(0) : options_.daemons);
        return std::max<base::duration>(std::chrono::milliseconds{150},
                                        std::chrono::milliseconds{15} * zone_size);
    }
    [[nodiscard]] std::vector<catalog::backend_server> entries() const {
        std::vector<catalog::backend_server> out;
        for (const auto& s : servers_) {
            out.push_back(s.entry);
        }
        return out;
    }
    base::duration random_time(base::duration limit) {
        return base::duration{
            static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(limit.count() + 1))};
    }

    void write_entry(server& s) {
        if (now_ < s.next_write || s.next_write == base::time_point{}) {
            return;
        }
        s.entry.remaining_warmup = std::max(base::duration{}, s.cold_until - now_);
        ++s.entry.entry_revision;
        s.next_write = now_ < s.cold_until ? now_ + std::chrono::milliseconds{1200} : base::time_point{};
        for (std::size_t i = 0; i < daemons_.size(); ++i) {
            pending_.emplace(now_ + random_time(options_.list_delay), [this, i, entry = s.entry] {
                auto& d = daemons_[i];
                for (auto& known : d.list) {
                    const bool newer = known.id == entry.id && known.entry_revision < entry.entry_revision;
                    known = newer ? entry : known;
                }
                d.table->set_servers(d.list, now_);
            });
        }
    }

    void step_daemon(std::size_t i) {
        auto& d = daemons_[i];
        const std::chrono::duration<double> dt{step};
        const bool arrives =
            std::bernoulli_distribution{options_.requests_per_s * load * dt.count()}(random_);
        d.waiting += arrives ? 1 : 0;
        if (i == 0 && std::bernoulli_distribution{hot_requests_per_s * dt.count()}(random_)) {
            d.waiting += start_one(d, true) ? 0 : 1;
        }
        while (d.waiting > 0 && start_one(d)) {
            --d.waiting;
        }
        if (d.next_beacon > now_) {
            return;
        }
        d.next_beacon = now_ + beacon_interval();
        d.table->expire(now_);
        for (std::size_t to = 0; to < daemons_.size(); ++to) {
            const bool reached = !within_zones() || zone_of(to) == zone_of(i) || random_() % 10 == 0;
            if (to != i && reached && !cut(i, to)) {
                daemons_[to].table->merge(base::vm_id{"vm" + std::to_string(i)}, zone_of(i), {}, false, now_);
            }
        }
    }

    bool start_one(daemon& d, bool hot = false) {
        auto order = d.list;
        std::shuffle(order.begin() + (hot ? 1 : 0), order.end(), random_);
        // With low load, requests spread over the servers; a burst goes to those that look idle.
        if (load > 1) {
            std::stable_sort(order.begin(), order.end(), [this](const auto& a, const auto& b) {
                return truth(a).became_cold_at > truth(b).became_cold_at;
            });
        }
        std::stable_partition(order.begin(), order.end(),
                              [&](const auto& s) { return !d.table->crowded(key_of(s), now_); });
        for (const auto& s : order) {
            const auto key = key_of(s);
            if (d.table->may_start(key, now_)) {
                d.table->record_start(key, now_);
                // Requests that go by an old list are for the earlier instance.
                if (s.incarnation == truth(s).entry.incarnation) {
                    arrive(truth(s));
                }
                return true;
            }
        }
        return false;
    }

    server& truth(const catalog::backend_server& s) {
        return *std::find_if(servers_.begin(), servers_.end(),
                             [&](const auto& x) { return x.entry.id == s.id; });
    }
    void arrive(server& s) {
        const auto at = now_ + random_time(std::chrono::milliseconds{40});
        if (at < s.cold_until) {
            s.cold_arrivals.insert(at);
        }
    }

    options options_;
    std::mt19937_64 random_;
    base::time_point now_{std::chrono::seconds{10'000}};
    std::vector<server> servers_;
    std::vector<daemon> daemons_;
    std::multimap<base::time_point, std::function<void()>> pending_;
};

}  // namespace chicorygap::backpressure
