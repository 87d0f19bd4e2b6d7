#include "scheduling/zone_preference.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace chicorygap::scheduling {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start_time{1000s};
constexpr base::duration step = 10ms;
constexpr base::duration run_time = 1s;
constexpr std::size_t zone_count = 3;
constexpr std::uint64_t request_bytes = 30'000;

base::zone_id name(std::size_t zone) {
    return base::zone_id{"z" + std::to_string(zone)};
}

/// Three zones whose daemons hear the loads of all zones late, each with a delay of its own. Each request
/// runs for one second, so that a zone's arrivals per second are the places that it needs.
struct zone_fleet {
    struct zone {
        double places = 100;
        double arrivals_per_s = 40;
        base::duration first_event = 160ms;
        bool silent = false;
        std::vector<std::unique_ptr<zone_preference>> daemons;
        std::vector<base::duration> delays;
        std::vector<std::uint64_t> changes;
        std::deque<std::pair<base::time_point, std::size_t>> waiting;  ///< arrival and daemon
        double due = 0;
        std::size_t next_daemon = 0;
        double left = 0;
        base::duration longest_wait{};
    };
    struct run {
        std::size_t from, at;
        base::time_point end;
    };

    /// @param delay_step difference between the delays of two daemons of a zone.
    zone_fleet(std::size_t daemons, base::duration delay_step, double price = 100, std::uint64_t seed = 1)
        : random_state{seed} {
        for (std::size_t z = 0; z < zone_count; ++z) {
            for (std::size_t i = 0; i < daemons; ++i) {
                auto& d = zones[z].daemons.emplace_back(
                    std::make_unique<zone_preference>(name(z), zone_options{price, {}}, random));
                d->record_run_time(run_time);
                zones[z].delays.push_back(100ms + static_cast<int>(i) * delay_step);
            }
        }
    }

    [[nodiscard]] double running(std::size_t from, std::size_t at) const {
        return static_cast<double>(std::count_if(runs.begin(), runs.end(),
                                                 [&](const run& r) { return r.from == from && r.at == at; }));
    }
    [[nodiscard]] double foreign(std::size_t at) const {
        double sum = 0;
        for (std::size_t from = 0; from < zone_count; ++from) {
            sum += from == at ? 0 : running(from, at);
        }
        return sum;
    }

    std::array<std::vector<zone_load>, zone_count> snapshot() const {
        std::array<std::vector<zone_load>, zone_count> by_viewer;
        for (std::size_t viewer = 0; viewer < zone_count; ++viewer) {
            for (std::size_t z = 0; z < zone_count; ++z) {
                const auto& s = zones[z];
                zone_load l{.zone = name(z), .places = s.places, .first_event = s.first_event};
                l.waiting = static_cast<double>(s.waiting.size());
                l.demand = l.waiting;
                for (std::size_t other = 0; other < zone_count; ++other) {
                    l.running += running(other, z);
                    l.demand += running(z, other);
                }
                l.running_from_home = running(viewer, z);
                l.reports = s.silent ? 0 : s.daemons.size();
                by_viewer[viewer].push_back(l);
            }
        }
        return by_viewer;
    }

    bool start(std::size_t from, zone_preference& d, base::duration waited) {
        const auto begin = [&](std::size_t at, leave_reason reason) {
            runs.push_back({from, at, now + run_time});
            if (at != from) {
                ++zones[from].left;
                d.record_start(name(at), request_bytes, reason);
                most_foreign[at] = std::max(most_foreign[at], foreign(at));
            }
            return true;
        };
        const auto has_place = [&](std::size_t at) {
            double n = 0;
            for (std::size_t other = 0; other < zone_count; ++other) {
                n += running(other, at);
            }
            return n < zones[at].places;
        };
        for (std::size_t at = 0; at < zone_count; ++at) {
            if (at != from && d.in_share(name(at)) && has_place(at)) {
                return begin(at, d.share_reason());
            }
        }
        if (has_place(from)) {
            return begin(from, leave_reason::none);
        }
        for (std::size_t at = 0; at < zone_count; ++at) {
            const auto reason =
                at == from ? leave_reason::none : d.may_overflow(name(at), request_bytes, waited, 300ms);
            if (reason != leave_reason::none && has_place(at)) {
                return begin(at, reason);
            }
        }
        return false;
    }

    void run_for(base::duration d) {
        for (const auto until = now + d; now < until; now += step) {
            std::erase_if(runs, [&](const run& r) { return r.end <= now; });
            history.push_back(snapshot());
            for (std::size_t z = 0; z < zone_count; ++z) {
                step_zone(z);
            }
        }
    }

    void step_zone(std::size_t index) {
        auto& z = zones[index];
        z.changes.assign(z.daemons.size(), 0);
        for (std::size_t i = 0; i < z.daemons.size(); ++i) {
            const auto age =
                std::min<std::size_t>(static_cast<std::size_t>(z.delays[i] / step), history.size() - 1);
            if (z.daemons[i]->update_due(now)) {
                z.daemons[i]->update(history[history.size() - 1 - age][index], now);
            }
            z.changes[i] = z.daemons[i]->status().state_changes;
        }
        for (auto n = z.waiting.size(); n > 0; --n) {
            const auto [arrived, daemon] = z.waiting.front();
            z.waiting.pop_front();
            z.longest_wait = std::max(z.longest_wait, now - arrived);
            if (!start(index, *z.daemons[daemon], now - arrived)) {
                z.waiting.emplace_back(arrived, daemon);
            }
        }
        z.due += z.arrivals_per_s * std::chrono::duration<double>{step}.count();
        for (; z.due >= 1; --z.due) {
            const auto daemon = z.next_daemon++ % z.daemons.size();
            z.daemons[daemon]->record_arrival(request_bytes);
            if (!start(index, *z.daemons[daemon], {})) {
                z.waiting.emplace_back(now, daemon);
            }
        }
    }

    [[nodiscard]] std::uint64_t most_changes(std::size_t index) const {
        return *std::max_element(zones[index].changes.begin(), zones[index].changes.end());
    }
    [[nodiscard]] bool all_in(std::size_t index, zone_state s) const {
        return std::all_of(zones[index].daemons.begin(), zones[index].daemons.end(),
                           [s](const auto& d) { return d->status().state == s; });
    }

    std::uint64_t random_state;
    base::random_function random = [this] {
        return random_state = random_state * 6364136223846793005U + 1442695040888963407U, random_state >> 33U;
    };
    base::time_point now = start_time;
    std::array<zone, zone_count> zones;
    std::vector<run> runs;
    std::vector<std::array<std::vector<zone_load>, zone_count>> history;
    std::array<double, zone_count> most_foreign{};
};

// Load: one zone needs 140 places and has 100. Guards against requests that wait while other zones have spare
// places, and against a share that swings with the delay of the reports.
TEST(zone_preference, zone_short_of_places_sends_its_excess) {
    zone_fleet f{10, 20ms};
    f.zones[0].arrivals_per_s = 140;
    f.run_for(5s);
    EXPECT_TRUE(f.all_in(0, zone_state::short_of_places));
    for (int i = 0; i < 10; ++i) {
        f.run_for(500ms);
        EXPECT_NEAR(f.running(0, 1) + f.running(0, 2), 55, 12) << "85 of 100 places are its working level";
        EXPECT_TRUE(f.zones[0].waiting.empty());
    }
    EXPECT_NEAR(f.running(0, 1), f.running(0, 2), 12) << "zones with equal spare places get equal shares";
    EXPECT_EQ(f.most_changes(0), 1U);
    EXPECT_EQ(f.zones[1].left + f.zones[2].left, 0);
}

// Load: all zones need 130 of 100 places. Guards against zones that exchange their requests, which costs time
// and money and frees no place.
TEST(zone_preference, nothing_leaves_when_all_zones_are_short) {
    zone_fleet f{10, 20ms};
    for (auto& z : f.zones) {
        z.arrivals_per_s = 130;
    }
    f.run_for(1s);
    const auto left = [&] { return f.zones[0].left + f.zones[1].left + f.zones[2].left; };
    const double before = left();
    f.run_for(5s);
    EXPECT_EQ(left(), before);
    EXPECT_LE(before, 3 * 130 * 0.05) << "while the first reports are on their way";
}

// Load: a server machine of one zone is busy with other work. Guards against callers that wait for a slow
// zone although the way costs less, and against a whole zone that moves.
TEST(zone_preference, part_of_the_requests_leaves_a_slow_zone_if_that_pays) {
    zone_fleet f{10, 20ms};
    f.zones[0].first_event = 400ms;
    f.run_for(10s);
    EXPECT_TRUE(f.all_in(0, zone_state::slow));
    EXPECT_GT(f.running(0, 1) + f.running(0, 2), 10);
    EXPECT_LT(f.running(0, 1) + f.running(0, 2), 30);
    zone_fleet expensive{10, 20ms, 10'000};  // 300 ms for a request
    expensive.zones[0].first_event = 400ms;
    expensive.run_for(10s);
    EXPECT_EQ(expensive.zones[0].left, 0);
}

// Load: a burst of one workspace in one zone, 2.8 times the usual rate for 6 s. Guards against a state that
// stays, and against one that changes several times in a burst.
TEST(zone_preference, burst_in_one_zone_changes_the_state_once_each_way) {
    zone_fleet f{10, 20ms};
    f.zones[0].arrivals_per_s = 50;
    f.run_for(3s);
    EXPECT_EQ(f.zones[0].left, 0);
    f.zones[0].arrivals_per_s = 140;
    f.run_for(6s);
    EXPECT_LT(f.zones[0].longest_wait, 200ms);
    f.zones[0].arrivals_per_s = 50;
    f.run_for(4s);
    EXPECT_TRUE(f.all_in(0, zone_state::sufficient));
    EXPECT_EQ(f.most_changes(0), 2U);
    EXPECT_EQ(f.running(0, 1) + f.running(0, 2), 0);
}

// Load: a zone loses all servers and gets them back. Guards against flapping while the requests return.
TEST(zone_preference, requests_come_back_to_a_zone_that_returns) {
    zone_fleet f{10, 20ms};
    f.run_for(2s);
    f.zones[0].places = 0;
    f.run_for(5s);
    EXPECT_TRUE(f.all_in(0, zone_state::closed));
    EXPECT_NEAR(f.running(0, 1) + f.running(0, 2), 40, 10);
    f.zones[0].places = 100;
    f.run_for(5s);
    EXPECT_TRUE(f.all_in(0, zone_state::sufficient));
    EXPECT_EQ(f.most_changes(0), 2U);
    EXPECT_EQ(f.running(0, 1) + f.running(0, 2), 0);
}

// Load: two zones are short, 62 daemons in each, reports between 100 ms and 1.3 s old. Guards against all of
// them filling the third zone, whose own callers then find no place.
TEST(zone_preference, two_short_zones_leave_the_third_its_reserve) {
    for (const std::uint64_t seed : {1, 7, 99, 12345, 31337}) {
        zone_fleet f{62, 20ms, 100, seed};
        f.zones[2].arrivals_per_s = 50;
        f.run_for(4s);
        f.zones[0].arrivals_per_s = 150;
        f.zones[1].arrivals_per_s = 130;
        f.run_for(3s);
        double of_first = 0;
        double of_second = 0;
        for (int i = 0; i < 20; ++i) {
            f.run_for(300ms);
            of_first += f.running(0, 2) / 20;
            of_second += f.running(1, 2) / 20;
        }
        EXPECT_NEAR(of_first + of_second, 30, 3) << seed << ": what the zone can spare";
        // Daemons that act on their own vary by 5 (62 of them with a quarter of a start per second, twice).
        EXPECT_LE(f.most_foreign[2], 45) << seed << ": at all times within the reserve, which ends at 50";
        EXPECT_GT(of_first, of_second) << seed << ": the zone that lacks more gets more";
        EXPECT_LT(f.zones[2].longest_wait, 20ms) << seed;
        EXPECT_EQ(f.zones[2].left, 0) << seed;
        EXPECT_EQ(f.most_changes(0), 1U) << seed;
    }
}

// Load: another zone is cut off, so that its servers look free. Guards against requests that are sent there.
TEST(zone_preference, nothing_is_sent_to_a_zone_that_is_not_heard) {
    zone_fleet f{6, 20ms};
    f.zones[1].silent = true;
    f.zones[0].arrivals_per_s = 130;
    f.run_for(5s);
    EXPECT_EQ(f.running(0, 1), 0);
    EXPECT_GT(f.running(0, 2), 20);
}

// Load: demand that goes up and down around the level at which a zone is short, slowly by a little and
// quickly by much. Guards against a change of state with each wave.
TEST(zone_preference, waves_of_demand_do_not_change_the_state) {
    for (const auto& [low, period] : {std::pair{84.0, 5'000ms}, std::pair{60.0, 300ms}}) {
        zone_preference p{name(0), {100, {}}, [] { return 1U; }};
        for (auto at = 0ms; at < 30s; at += 100ms) {
            const double demand = at / period % 2 == 0 ? 95 : low;
            p.update({{.zone = name(0), .places = 100, .running = demand, .demand = demand, .reports = 20},
                      {.zone = name(1), .places = 100, .running = 20, .demand = 20, .reports = 1}},
                     start_time + at);
        }
        EXPECT_EQ(p.status().state_changes, 1U) << low;
        EXPECT_EQ(p.status().state, zone_state::short_of_places);
    }
}

// Load: a burst of plain requests of 30 ms. Guards against a bound that allows one start for each plan,
// however soon the places are free again.
TEST(zone_preference, short_requests_use_all_places_that_are_spared) {
    zone_preference p{name(0), {100, {}}, [] { return 1U; }};
    p.record_run_time(30ms);
    int starts = 0;
    for (auto at = 0ms; at < 1s; at += 50ms) {
        p.update({{.zone = name(0), .places = 30, .running = 30, .demand = 50, .reports = 2},
                  {.zone = name(1), .places = 30, .running = 12, .demand = 12, .reports = 1}},
                 start_time + at);
        for (; p.may_overflow(name(1), 1000, 1s, 1s) != leave_reason::none; ++starts) {
            p.record_start(name(1), 1000, leave_reason::full);
        }
    }
    EXPECT_GE(starts, 100) << "half of 12 places, 20 times a second";
    EXPECT_LE(starts, 130);
}

// Guards against daemons of one zone that follow different plans from the same reports.
TEST(zone_preference, daemons_reach_the_same_share_from_the_same_reports) {
    const std::vector<zone_load> loads{
        {.zone = name(0), .places = 100, .running = 100, .demand = 170, .reports = 20},
        {.zone = name(1), .places = 100, .running = 20, .demand = 20, .reports = 1},
        {.zone = name(2), .places = 100, .running = 60, .demand = 60, .reports = 1}};
    zone_preference a{name(0), {100, {}}, [] { return 1U; }};
    zone_preference b{name(0), {100, {}}, [] { return 999U; }};
    a.update(loads, start_time);
    b.update(loads, start_time + 200ms);
    EXPECT_EQ(a.status().shares, b.status().shares);
    EXPECT_NEAR(a.status().shares.at(name(1)), 3 * a.status().shares.at(name(2)), 1e-9)
        << "in proportion to 60 and 20 spare places";
}

}  // namespace
}  // namespace chicorygap::scheduling
