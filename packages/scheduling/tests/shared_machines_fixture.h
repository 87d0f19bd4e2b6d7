/// @file
/// Fixture with a scheduler for servers on shared machines.
#pragma once

#include "scheduling/scheduler.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace chicorygap::scheduling {

using namespace std::chrono_literals;

inline constexpr base::time_point start_time{1000s};

/// Scheduler with `shared_machines`, and a record of its decisions.
struct shared_machines_test : testing::Test {
    std::uint64_t random_state = 1;
    scheduler s{{.self = base::vm_id{"self"}, .zone = base::zone_id{"z1"}, .shared_machines = true},
                [this] { return ++random_state; }};
    std::uint64_t last_id = 0;
    std::map<std::string, int> starts_by_server;
    std::map<local_request_id, std::string> server_of;
    std::vector<reject_decision> rejected;
    std::vector<local_request_id> start_order;

    static catalog::backend_server server(const std::string& id, std::uint32_t slots,
                                          const std::string& zone = "z1") {
        catalog::backend_server out;
        out.id = base::backend_server_id{id};
        out.service = base::service_id{"assistant"};
        out.zone = base::zone_id{zone};
        out.slots = slots;
        return out;
    }

    void apply(const std::vector<decision>& decisions) {
        for (const auto& d : decisions) {
            if (const auto* start = std::get_if<start_decision>(&d)) {
                ++starts_by_server[start->server.id.str()];
                server_of[start->id] = start->server.id.str();
                start_order.push_back(start->id);
            } else {
                rejected.push_back(std::get<reject_decision>(d));
            }
        }
    }

    scheduled_request make_request(base::time_point now, std::uint8_t rank = 1,
                                   const std::string& workspace = "w") {
        scheduled_request r;
        r.id = local_request_id{++last_id};
        r.priority_rank = rank;
        r.workspace = base::workspace_id{workspace};
        r.arrived = now;
        r.target_at = now + 600ms;
        r.deadline = now + 5s;
        return r;
    }

    scheduled_request make_generation(base::time_point now, std::int64_t prompt, std::uint8_t rank = 1) {
        auto r = make_request(now, rank);
        r.generation = generation_requirements{
            .prompt_tokens = prompt, .output_tokens = 100, .parts = {}, .max_token_gap = {}};
        return r;
    }

    local_request_id submit(scheduled_request r, base::time_point now) {
        const auto id = r.id;
        apply(s.submit(std::move(r), now));
        return id;
    }

    void finish(local_request_id id, base::time_point now, outcome o = outcome::success) {
        apply(s.attempt_finished(id, o, now));
        s.remove(id);
    }
};

}  // namespace chicorygap::scheduling
