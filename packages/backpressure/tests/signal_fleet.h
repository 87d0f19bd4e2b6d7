/// @file
/// Simulated fleet whose daemons send requests to one server that names a limit.
#pragma once

#include "backpressure/signal_table.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chicorygap::backpressure {

/// Simulated fleet: callers send requests to each daemon at random times, and each request goes to the server
/// whenever the daemon's table allows it. Beacons are late, and some are lost.
///
/// Usage: `signal_fleet f{options}; f.run(20s); f.most_arrivals(from, 4s);`
class signal_fleet {
public:
    struct options {
        std::size_t daemons = 6;
        std::size_t zones = 1;
        bool within_zones = false;
        double requests_per_s = 5;  ///< of each daemon
        base::duration beacon_interval = std::chrono::milliseconds{150};
        base::duration beacon_delay = std::chrono::milliseconds{2};
        double beacon_loss = 0.02;
        std::uint64_t seed = 1;
    };

    explicit signal_fleet(options o) : options_{o}, random_{o.seed} {
        server_.id = base::backend_server_id{"server" + std::to_string(o.seed)};
        server_.service = service;
        server_.zone = zone_of(0);
        for (std::size_t i = 0; i < o.daemons; ++i) {
            daemons_.emplace_back();
            restart(i, now_ - std::chrono::hours{1});
            daemons_[i].next_request = now_ + next_gap();
            daemons_[i].next_beacon =
                now_ + o.beacon_interval * static_cast<int>(i) / static_cast<int>(o.daemons);
        }
    }

    /// Limit that the server names; nothing for none.
    std::optional<double> limit;
    /// @return true if beacons between two daemons are lost.
    std::function<bool(std::size_t, std::size_t)> cut = [](std::size_t, std::size_t) { return false; };
    /// @return true if a daemon is frozen or has no process.
    std::function<bool(std::size_t)> stopped = [](std::size_t) { return false; };

    [[nodiscard]] base::time_point now() const { return now_; }

    /// Replaces a daemon by a new process that knows nothing.
    void restart(std::size_t i, base::time_point started_at) {
        auto& d = daemons_[i];
        d.table =
            std::make_unique<signal_table>(base::vm_id{"vm" + std::to_string(i)}, zone_of(i), started_at);
        d.table->set_fleet({.within_zones = options_.within_zones,
                            .settle_time = options_.beacon_interval * 2 + std::chrono::milliseconds{100},
                            .silence_time = options_.beacon_interval * 5 + std::chrono::milliseconds{450},
                            .known_daemons = options_.within_zones ? 1 : options_.daemons});
        d.table->set_servers({server_}, now_);
        d.table->set_hooks({.changed = nullptr,
                            .news = [this, i](bool) { daemons_[i].next_beacon = now_; },
                            .server_leaving = nullptr});
    }

    void set_load(std::size_t i, double factor) { daemons_[i].load = factor; }

    void run(base::duration d) {
        const auto end = now_ + d;
        for (; now_ < end; now_ += std::chrono::milliseconds{2}) {
            for (std::size_t i = 0; i < daemons_.size(); ++i) {
                if (!stopped(i)) {
                    step(i);
                }
            }
            deliver();
        }
    }

    /// @return most requests that the server got in a window of that length that begins at `from` or later.
    [[nodiscard]] std::ptrdiff_t most_arrivals(base::time_point from, base::duration window) const {
        std::ptrdiff_t most = 0;
        for (auto it = std::lower_bound(arrivals_.begin(), arrivals_.end(), from); it != arrivals_.end();
             ++it) {
            most = std::max(most, std::lower_bound(it, arrivals_.end(), *it + window) - it);
        }
        return most;
    }

    [[nodiscard]] std::ptrdiff_t arrivals_since(base::time_point from) const {
        return arrivals_.end() - std::lower_bound(arrivals_.begin(), arrivals_.end(), from);
    }

private:
    struct daemon {
        std::unique_ptr<signal_table> table;
        base::time_point next_request;
        base::time_point next_beacon;
        double load = 1;
    };

    inline static const base::service_id service{"s"};

    [[nodiscard]] base::zone_id zone_of(std::size_t i) const {
        return base::zone_id{"z" + std::to_string(i % options_.zones)};
    }

    base::duration next_gap(double load = 1) {
        const std::chrono::duration<double> gap{
            std::exponential_distribution<double>{options_.requests_per_s * load}(random_)};
        return std::chrono::duration_cast<base::duration>(gap);
    }

    void step(std::size_t i) {
        auto& d = daemons_[i];
        const auto key = key_of(server_);
        for (; d.next_request <= now_; d.next_request += next_gap(d.load)) {
            d.table->record_arrival(service, now_);
            if (d.table->may_start(key, now_)) {
                d.table->record_start(key, now_);
                arrivals_.push_back(now_);
                const auto answer_at = now_ + std::chrono::milliseconds{20 + random_() % 100};
                pending_.emplace(answer_at, [this, i, table = d.table.get(), sent_at = now_, said = limit] {
                    if (daemons_[i].table.get() == table) {
                        table->observe(server_, {.rate_limit = said}, sent_at, now_);
                    }
                });
            }
        }
        if (d.next_beacon <= now_) {
            d.next_beacon = now_ + options_.beacon_interval;
            d.table->expire(now_);
            send_beacon(i, d.table->report(audience::peers, now_));
        }
    }

    void send_beacon(std::size_t from, const signal_report& r) {
        for (std::size_t to = 0; to < daemons_.size(); ++to) {
            const bool lost = std::uniform_real_distribution<double>{}(random_) < options_.beacon_loss;
            if (to == from || lost || cut(from, to) || stopped(to)) {
                continue;
            }
            pending_.emplace(now_ + options_.beacon_delay, [this, from, to, r] {
                daemons_[to].table->merge(base::vm_id{"vm" + std::to_string(from)}, zone_of(from), r, false,
                                          now_);
            });
        }
    }

    void deliver() {
        while (!pending_.empty() && pending_.begin()->first <= now_) {
            const auto action = std::move(pending_.begin()->second);
            pending_.erase(pending_.begin());
            action();
        }
    }

    options options_;
    std::mt19937_64 random_;
    base::time_point now_{std::chrono::seconds{10'000}};
    catalog::backend_server server_;
    std::vector<daemon> daemons_;
    std::multimap<base::time_point, std::function<void()>> pending_;
    std::vector<base::time_point> arrivals_;
};

}  // namespace chicorygap::backpressure
