#include "../src/zone_return.h"
#include "scheduling/scheduler.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace chicorygap::scheduling {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start_time{1000s};

catalog::backend_server server(const std::string& id, const std::string& zone, bool evacuated = false) {
    catalog::backend_server s;
    s.id = base::backend_server_id{id};
    s.service = base::service_id{"assistant"};
    s.address = {"10.0.0." + id.substr(1), 80};
    s.zone = base::zone_id{zone};
    s.slots = 8;
    s.evacuated = evacuated;
    return s;
}

catalog::backend_server returned(const std::string& id, const std::string& zone) {
    auto s = server(id, zone);
    s.returned_at = start_time;
    return s;
}

struct evacuation_test : testing::Test {
    std::uint64_t random_state = 1;
    scheduler s{{base::vm_id{"self"}, base::zone_id{"a"}},
                [this] { return random_state = random_state * 6364136223846793005U + 1442695040888963407U; }};
    std::uint64_t last_id = 0;
    std::map<std::string, int> starts;
    std::vector<start_decision> started;
    std::vector<reject_decision> rejected;

    void apply(const std::vector<decision>& decisions) {
        for (const auto& d : decisions) {
            if (const auto* start = std::get_if<start_decision>(&d)) {
                ++starts[start->server.id.str()];
                started.push_back(*start);
            } else {
                rejected.push_back(std::get<reject_decision>(d));
            }
        }
    }

    local_request_id submit(base::time_point now, std::vector<prefix_part> parts = {}) {
        scheduled_request r;
        r.id = local_request_id{++last_id};
        r.priority_rank = 1;
        r.workspace = base::workspace_id{"w"};
        r.arrived = now;
        r.target_at = now + 400ms;
        r.deadline = now + 5s;
        if (!parts.empty()) {
            r.generation = generation_requirements{4000, 100, std::move(parts)};
        }
        apply(s.submit(r, now));
        return r.id;
    }

    void finish(local_request_id id, base::time_point now, outcome o = outcome::success) {
        apply(s.attempt_finished(id, o, now));
        s.remove(id);
    }
};

// Failure: the preferred server of a request is in an evacuated zone. Guards against new requests and retries
// that reach it, also when the other servers have failed or are full.
TEST_F(evacuation_test, evacuated_servers_get_neither_new_requests_nor_retries) {
    apply(s.set_servers({server("s1", "a", true), server("s2", "b")}, start_time));
    for (int i = 0; i < 10; ++i) {
        submit(start_time);
    }
    EXPECT_EQ(starts["s1"], 0);
    EXPECT_EQ(starts["s2"], 8);
    const auto id = started.front().id;
    apply(s.attempt_finished(id, outcome::rejected, start_time));
    apply(s.resubmit(id, start_time));
    EXPECT_EQ(starts["s1"], 0);
}

// Failure: a zone is evacuated while requests wait, and comes back. Guards against requests that wait for the
// next tick, or until their time is over, although servers have room.
TEST_F(evacuation_test, waiting_requests_are_tried_again_when_a_zone_returns) {
    apply(s.set_servers({server("s1", "a", true), server("s2", "b")}, start_time));
    for (int i = 0; i < 9; ++i) {
        submit(start_time);
    }
    ASSERT_EQ(started.size(), 8U);
    apply(s.set_servers({returned("s1", "a"), server("s2", "b")}, start_time + 100ms));
    EXPECT_EQ(starts["s1"], 1);
}

// Guards against an evacuation that ends or loses the requests that already run there.
TEST_F(evacuation_test, running_requests_are_left_to_end) {
    apply(s.set_servers({server("s1", "a")}, start_time));
    const auto id = submit(start_time);
    apply(s.set_servers({server("s1", "a", true), server("s2", "b")}, start_time));
    EXPECT_TRUE(rejected.empty());
    EXPECT_EQ(s.local_load(start_time).servers.at(0).running, 1U);
    finish(id, start_time);
    EXPECT_TRUE(s.local_load(start_time).servers.empty());
}

// Failure: all zones are evacuated. Guards against requests that wait in vain, and against callers that come
// back several times a second during the evacuation.
TEST_F(evacuation_test, all_requests_are_refused_at_once_when_all_zones_are_evacuated) {
    apply(s.set_servers({server("s1", "a")}, start_time));
    for (int i = 0; i < 9; ++i) {
        submit(start_time);
    }
    ASSERT_EQ(started.size(), 8U);
    apply(s.set_servers({server("s1", "a", true)}, start_time));
    EXPECT_EQ(rejected.size(), 1U);
    submit(start_time);
    ASSERT_EQ(rejected.size(), 2U);
    for (const auto& r : rejected) {
        EXPECT_EQ(r.code, base::result_code::no_backend_server);
        EXPECT_GE(r.retry_after, base::duration{3s});
    }
    EXPECT_FALSE(s.has_waiting());
}

// Failure: the server whose cache holds a shared part is evacuated. Guards against KV transfers from it, and
// against requests that keep its place in the ranking of the part free.
TEST_F(evacuation_test, evacuated_server_is_neither_affinity_server_nor_source_of_a_transfer) {
    s.set_engine(catalog::engine_parameters{.slots = 8,
                                            .kv_capacity_tokens = 1'000'000,
                                            .kv_bytes_per_token = 1000,
                                            .link_bytes_per_ms = 1'000'000});
    const std::vector<prefix_part> parts{{7, 3000}, {8, 1000}};
    const auto all = [](bool evacuated_first, const std::string& first) {
        std::vector<catalog::backend_server> out;
        for (const auto* id : {"s1", "s2", "s3", "s4", "s5"}) {
            out.push_back(server(id, id == first ? "b" : "a", evacuated_first && id == first));
        }
        return out;
    };
    apply(s.set_servers(all(false, "none"), start_time));
    submit(start_time, parts);
    ASSERT_EQ(started.size(), 1U);
    const auto preferred = started[0].server;
    ASSERT_EQ(started[0].affinity_rank, 0U);
    apply(s.set_servers(all(true, preferred.id.str()), start_time));
    for (int i = 0; i < 12; ++i) {
        submit(start_time + 1ms * i, parts);
    }
    ASSERT_GT(started.size(), 4U);
    EXPECT_EQ(starts[preferred.id.str()], 1);
    EXPECT_EQ(started[1].affinity_rank, 0U) << "the next server must take the first place";
    for (std::size_t i = 1; i < started.size(); ++i) {
        EXPECT_NE(started[i].kv_transfer_source, std::optional{preferred.address});
    }
}

// Load: a zone of idle servers returns while daemons send at their full rate. Guards against all requests
// going there at once.
TEST_F(evacuation_test, work_returns_gradually_to_a_zone) {
    apply(s.set_servers({returned("s1", "a"), server("s2", "b")}, start_time));
    const auto share_at = [&](base::duration age) {
        starts.clear();
        for (int i = 0; i < 300; ++i) {
            finish(submit(start_time + age), start_time + age);
        }
        return starts["s1"] / 300.0;
    };
    EXPECT_LT(share_at(0ms), 0.05);
    EXPECT_NEAR(share_at(1500ms), 0.5, 0.1);
    EXPECT_GT(share_at(3000ms), 0.95) << "its own zone is preferred again";
}

// Load: the other servers are full when a zone returns. Guards against refusing work while the zone is idle,
// and against filling its servers at once.
TEST_F(evacuation_test, returning_server_takes_what_no_other_can_up_to_its_usable_slots) {
    apply(s.set_servers({returned("s1", "a"), server("s2", "b")}, start_time));
    for (int i = 0; i < 20; ++i) {
        submit(start_time + 1500ms);
    }
    EXPECT_EQ(starts["s2"], 8);
    EXPECT_EQ(starts["s1"], 4);
}

TEST(zone_return, share_and_slots_grow_over_three_seconds) {
    const zone_return z{start_time};
    EXPECT_EQ(z.share(start_time - 1s), 0);
    EXPECT_DOUBLE_EQ(z.share(start_time + 750ms), 0.25);
    EXPECT_EQ(z.share(start_time + 4s), 1);
    EXPECT_EQ(z.usable_slots(32, start_time), 1U);
    EXPECT_EQ(z.usable_slots(32, start_time + 1500ms), 16U);
    EXPECT_EQ(z.usable_slots(32, start_time + 3s), 32U);
    EXPECT_EQ(zone_return{std::nullopt}.share(start_time), 1);
}

}  // namespace
}  // namespace chicorygap::scheduling
