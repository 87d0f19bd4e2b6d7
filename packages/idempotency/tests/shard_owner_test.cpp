#include "idempotency/shard_owner.h"

#include "fakes/message_store.h"
#include "idempotency/segment.h"

#include <gtest/gtest.h>

#include <map>

namespace chicorygap::idempotency {
namespace {

using namespace std::chrono_literals;
using fakes::store_fault;

shard_options options(const std::string& owner) {
    shard_options o;
    o.owner = owner;
    o.incarnation = 1;
    return o;
}

claim make_claim(std::uint64_t number, const std::string& key, const std::string& body = "pay 5") {
    return {number, make_record_id("north", "booking", key), make_digest(body)};
}

// Owner whose store calls are executed at once, unless `hold` keeps them.
struct owner {
    fakes::message_store& store;
    shard_owner machine;
    std::map<std::uint64_t, std::vector<decision>> decisions{};
    std::vector<base::store_put> held{};
    bool hold = false;

    owner(fakes::message_store& s, shard_options o) : store{s}, machine{std::move(o)} {}

    void send(const shard_event& e, base::time_point now) {
        for (const auto& a : machine.handle(e, now)) {
            if (const auto* d = std::get_if<decision>(&a)) {
                decisions[d->claim_number].push_back(*d);
            } else if (const auto* l = std::get_if<base::store_list>(&a)) {
                send(store.call(*l), now);
            } else if (hold) {
                held.push_back(std::get<base::store_put>(a));
            } else {
                send(store.call(std::get<base::store_put>(a)), now);
            }
        }
    }

    verdict last(std::uint64_t number) {
        EXPECT_EQ(decisions[number].size(), 1U) << "claim " << number;
        return decisions[number].empty() ? verdict::refused : decisions[number].back().result;
    }
};

struct shard_owner_test : testing::Test {
    fakes::message_store store;
    base::time_point now{1h};
    owner a{store, options("a")};
    owner b{store, options("b")};
};

// Guards against a second execution of a repeated request (P10).
TEST_F(shard_owner_test, repeated_request_is_not_granted_again) {
    a.send(role_acquired{1}, now);
    a.send(make_claim(1, "k"), now);
    a.send(make_claim(2, "k"), now);
    EXPECT_EQ(a.last(1), verdict::granted);
    EXPECT_EQ(a.last(2), verdict::unknown);
    a.send(outcome_reported{make_claim(1, "k").id, {200, "booked", true}}, now);
    a.send(make_claim(3, "k"), now);
    EXPECT_EQ(a.last(3), verdict::known);
    EXPECT_EQ(a.decisions[3].back().recorded->body, "booked");
}

// Guards against an answer to another request with the same key.
TEST_F(shard_owner_test, same_key_with_another_body_is_refused) {
    a.send(role_acquired{1}, now);
    a.send(make_claim(1, "k"), now);
    a.send(make_claim(2, "k", "pay 50"), now);
    EXPECT_EQ(a.last(2), verdict::reused);
}

// Guards against a permit that the store does not know of.
TEST_F(shard_owner_test, permit_waits_until_the_write_is_known_to_be_applied) {
    a.send(role_acquired{1}, now);
    a.hold = true;
    a.send(make_claim(1, "k"), now);
    EXPECT_TRUE(a.decisions.empty());
    a.hold = false;
    a.send(store.call(a.held.at(0)), now);
    EXPECT_EQ(a.last(1), verdict::granted);
}

// Guards against more than one write in flight, and against one write per claim.
TEST_F(shard_owner_test, claims_that_arrive_during_a_write_share_the_next_one) {
    a.send(role_acquired{1}, now);
    a.hold = true;
    for (std::uint64_t n = 1; n <= 50; ++n) {
        a.send(make_claim(n, std::to_string(n)), now);
    }
    ASSERT_EQ(a.held.size(), 1U);
    a.hold = false;
    a.send(store.call(a.held[0]), now);
    EXPECT_EQ(store.updates(), 2U);
    EXPECT_EQ(a.last(50), verdict::granted);
}

// Guards against an execution per owner when the reply to the first owner's write is lost and it dies.
TEST_F(shard_owner_test, reply_lost_and_owner_killed) {
    a.send(role_acquired{1}, now);
    store.inject(store_fault::drop_reply);
    a.send(make_claim(1, "k"), now);
    EXPECT_TRUE(a.decisions.empty());
    b.send(role_acquired{2}, now);
    b.send(make_claim(2, "k"), now);
    EXPECT_EQ(b.last(2), verdict::unknown);
}

// Guards against a request that is stuck because its write's reply was lost.
TEST_F(shard_owner_test, lost_reply_is_resolved_by_the_token) {
    a.send(role_acquired{1}, now);
    store.inject(store_fault::drop_reply);
    a.send(make_claim(1, "k"), now);
    a.send(tick{}, now + 1s);
    EXPECT_EQ(a.last(1), verdict::granted);
    EXPECT_EQ(store.updates(), 1U);
}

// Guards against two permits when a paused owner resumes after its successor has granted.
TEST_F(shard_owner_test, reply_lost_and_owner_paused) {
    a.send(role_acquired{1}, now);
    a.hold = true;
    a.send(make_claim(1, "k"), now);
    b.send(role_acquired{2}, now);
    b.send(make_claim(2, "k"), now);
    EXPECT_EQ(b.last(2), verdict::granted);
    a.hold = false;
    a.send(store.call(a.held.at(0)), now);
    EXPECT_EQ(a.last(1), verdict::unknown);
}

// Guards against a successor that grants an id whose record arrives after it has loaded the segments.
TEST_F(shard_owner_test, write_that_takes_effect_after_the_takeover_is_seen) {
    a.send(role_acquired{1}, now);
    store.inject(store_fault::delay);
    a.send(make_claim(1, "k"), now);
    b.send(role_acquired{2}, now);
    store.deliver_delayed();
    b.send(make_claim(2, "k"), now);
    EXPECT_EQ(b.last(2), verdict::unknown);
    b.send(make_claim(3, "other"), now);
    EXPECT_EQ(b.last(3), verdict::granted);
}

// Guards against a grant by an owner that has not read what its predecessor granted.
TEST_F(shard_owner_test, store_down_at_takeover_grants_nothing) {
    a.send(role_acquired{1}, now);
    a.send(make_claim(1, "k"), now);
    store.set_down(true);
    b.send(role_acquired{2}, now);
    b.send(make_claim(2, "k"), now);
    EXPECT_FALSE(b.machine.ready());
    EXPECT_TRUE(b.decisions.empty());
    store.set_down(false);
    b.send(tick{}, now + 1s);
    EXPECT_EQ(b.last(2), verdict::unknown);
}

// Guards against a permit that arrives after the claim was refused because the role was lost.
TEST_F(shard_owner_test, store_down_and_owner_paused_refuses_without_a_later_permit) {
    a.send(role_acquired{1}, now);
    store.set_down(true);
    a.send(make_claim(1, "k"), now);
    a.send(role_lost{}, now + 10s);
    EXPECT_EQ(a.last(1), verdict::refused);
    store.set_down(false);
    a.send(tick{}, now + 20s);
    EXPECT_EQ(a.last(1), verdict::refused);
}

// Guards against a permit from an owner that is cut off after its write took effect.
TEST_F(shard_owner_test, partitioned_owner_with_a_lost_reply_grants_nothing) {
    a.send(role_acquired{1}, now);
    store.inject(store_fault::drop_reply);
    a.send(make_claim(1, "k"), now);
    b.send(role_acquired{2}, now);
    b.send(make_claim(2, "k"), now);
    EXPECT_EQ(b.last(2), verdict::unknown);
    a.send(role_lost{}, now + 8s);
    EXPECT_EQ(a.last(1), verdict::refused);
    a.send(tick{}, now + 1min);
    EXPECT_EQ(a.last(1), verdict::refused);
}

// Guards against objects above the store's limit and against losing records when a segment is closed.
TEST_F(shard_owner_test, many_records_stay_below_1_mb_per_object_and_survive_a_takeover) {
    auto o = options("a");
    o.segment_bytes = 4'000;
    o.batch_bytes = 2'000;
    owner small{store, o};
    small.send(role_acquired{1}, now);
    for (std::uint64_t n = 1; n <= 500; ++n) {
        small.send(make_claim(n, std::to_string(n)), now);
        ASSERT_EQ(small.last(n), verdict::granted);
    }
    for (const auto& object : store.list("once/0/")) {
        EXPECT_LT(object.value.size(), 8'000U);
    }
    b.send(role_acquired{2}, now);
    for (std::uint64_t n = 1; n <= 500; ++n) {
        b.send(make_claim(n, std::to_string(n)), now);
        ASSERT_EQ(b.last(n), verdict::unknown);
    }
}

// Guards against forgetting a record early, also when owners change, and against keeping it for ever.
TEST_F(shard_owner_test, records_last_the_retention_over_a_takeover) {
    auto o = options("a");
    o.segment_bytes = 100;
    o.slots = 3;
    owner first{store, o};
    first.send(role_acquired{1}, now);
    first.send(make_claim(1, "k1"), now);
    first.send(make_claim(2, "k2"), now);
    now += 12h;
    first.send(make_claim(3, "k3"), now);
    EXPECT_EQ(first.last(3), verdict::granted);
    o.owner = "c";
    owner second{store, o};
    second.send(role_acquired{2}, now);
    now += 11h;
    second.send(make_claim(4, "k1"), now);
    EXPECT_EQ(second.last(4), verdict::unknown);
    now += 2h;
    second.send(make_claim(5, "k1"), now);
    EXPECT_EQ(second.last(5), verdict::granted);
}

// Guards against unbounded memory; the refusal is true because nothing was written.
TEST_F(shard_owner_test, full_shard_refuses_as_not_run) {
    auto o = options("a");
    o.max_records = 10;
    owner small{store, o};
    small.send(role_acquired{1}, now);
    for (std::uint64_t n = 1; n <= 11; ++n) {
        small.send(make_claim(n, std::to_string(n)), now);
    }
    EXPECT_EQ(small.last(10), verdict::granted);
    EXPECT_EQ(small.last(11), verdict::refused);
    EXPECT_EQ(small.machine.records(), 10U);
}

// Guards against an age that overflows the clock, so that records are dropped before their retention.
TEST(segment, age_outside_the_clock_is_refused) {
    for (const std::string age : {"9223372036854775807", "-1"}) {
        EXPECT_FALSE(
            decode_segment(R"({"sequence":1,"token":"t","ages":[[0,)" + age + R"(]],"entries":[]})"));
    }
}

}  // namespace
}  // namespace chicorygap::idempotency
