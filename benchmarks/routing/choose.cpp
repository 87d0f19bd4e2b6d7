#include "routing/router.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chicorygap::routing {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{1000s};

base::random_function seeded() {
    return [g = std::make_shared<std::mt19937_64>(1)] { return (*g)(); };
}

base::backend_server_id sid(int i) {
    return base::backend_server_id{"server-" + std::to_string(i)};
}

router make_router(int servers, int peers) {
    options o;
    o.self = base::vm_id{"d0"};
    o.zone = base::zone_id{"a"};
    router r{o, seeded()};
    std::vector<peer_info> fleet;
    fleet.reserve(static_cast<std::size_t>(peers));
    for (int i = 0; i < peers; i++) {
        fleet.push_back({base::vm_id{"d" + std::to_string(i)}, o.zone});
    }
    r.handle(peers_changed{fleet}, start);
    std::vector<server_info> list;
    list.reserve(static_cast<std::size_t>(servers));
    for (int i = 0; i < servers; i++) {
        list.push_back({.id = sid(i), .zone = o.zone, .slots = 32, .models = {"m"}});
    }
    r.handle(servers_changed{list}, start);
    for (int i = 0; i < servers; i++) {
        r.handle(load_reported{sid(i), i % 24, 0, 1s}, start);
        r.handle(cache_event{sid(i), 1, cache_event::change::added, static_cast<std::uint64_t>(i % 50) + 1},
                 start);
    }
    return r;
}

// One whole decision: choice with a prompt of eight prefixes, start and end of the attempt.
void decide(benchmark::State& state, router& r) {
    route_request q{.model = "m", .prefixes = {}};
    std::uint64_t i = 0;
    for (auto _ : state) {
        i++;
        q.prefixes = {i % 50 + 1, 1001, 1002, 1003, 1004, 1005, 1006, 1007};
        const auto c = r.select_server(q, start);
        const attempt_id id{base::request_id{"request"}, 1};
        r.handle(attempt_started{id, c->server}, start);
        r.handle(attempt_finished{id, c->server}, start);
    }
}

// Baseline: least connections over plain counters, the usual minimum of a load balancer's work.
void BM_baseline_least_connections(benchmark::State& state) {
    std::vector<int> in_flight(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) {
        auto it = std::min_element(in_flight.begin(), in_flight.end());
        benchmark::DoNotOptimize(++*it);
        --*it;
    }
}
BENCHMARK(BM_baseline_least_connections)->Arg(60)->Arg(600)->Unit(benchmark::kMicrosecond);

// Without subsets every decision considers all servers of the zone.
void BM_decision_all_servers(benchmark::State& state) {
    auto r = make_router(static_cast<int>(state.range(0)), 1);
    decide(state, r);
}
BENCHMARK(BM_decision_all_servers)->Arg(60)->Arg(600)->Unit(benchmark::kMicrosecond);

// With the 90 daemons of a zone of the design size, each uses 40 servers.
void BM_decision_subset(benchmark::State& state) {
    auto r = make_router(static_cast<int>(state.range(0)), 90);
    decide(state, r);
}
BENCHMARK(BM_decision_subset)->Arg(60)->Arg(600)->Unit(benchmark::kMicrosecond);

void BM_free_slots(benchmark::State& state) {
    auto r = make_router(static_cast<int>(state.range(0)), 1);
    for (auto _ : state) {
        benchmark::DoNotOptimize(r.free_slots(start));
    }
}
BENCHMARK(BM_free_slots)->Arg(60)->Arg(600)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace chicorygap::routing
