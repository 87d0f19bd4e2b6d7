/// @file
/// Utilities of the routing tests.
#pragma once

#include "routing/router.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chicorygap::routing::testing {

using namespace std::chrono_literals;

inline constexpr base::time_point start{1000s};

inline base::backend_server_id server_id(int i) {
    return base::backend_server_id{"s" + std::to_string(i)};
}

inline base::random_function seeded_random(std::uint64_t seed) {
    return [g = std::make_shared<std::mt19937_64>(seed)] { return (*g)(); };
}

/// @return `n` identical servers in the zone, named s<first>, s<first + 1>, ...
inline std::vector<server_info> make_servers(int n, int slots = 8, const std::string& zone = "a",
                                             int first = 0) {
    std::vector<server_info> out;
    for (int i = first; i < first + n; i++) {
        out.push_back({.id = server_id(i), .zone = base::zone_id{zone}, .slots = slots, .models = {}});
    }
    return out;
}

inline router make_router(std::uint64_t seed = 1, const std::string& self = "d0") {
    options o;
    o.self = base::vm_id{self};
    o.zone = base::zone_id{"a"};
    return router{o, seeded_random(seed)};
}

inline attempt_id make_attempt_id(int i) {
    return {base::request_id{std::to_string(i)}, 1};
}

inline server_status status_of(const router& r, int i, base::time_point now) {
    for (auto& s : r.snapshot(now)) {
        if (s.id == server_id(i)) {
            return s;
        }
    }
    return {};
}

/// Reports the start and the end of attempt `n` on a server.
inline void run_attempt(router& r, int n, int server, base::result_code outcome, base::time_point now) {
    r.handle(attempt_started{make_attempt_id(n), server_id(server)}, now);
    r.handle(attempt_finished{make_attempt_id(n), server_id(server), outcome}, now);
}

}  // namespace chicorygap::routing::testing
