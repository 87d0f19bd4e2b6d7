#include "lease/role_lease.h"

#include "fakes/message_store.h"
#include "lease/lease_record.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace chicorygap::lease {
namespace {

using namespace std::chrono_literals;
using fakes::store_fault;

lease_options options(const std::string& holder, std::uint64_t incarnation = 1) {
    lease_options o;
    o.role = "zone-control-a";
    o.holder = holder;
    o.incarnation = incarnation;
    return o;
}

// A daemon whose store calls complete at once. A paused daemon is one that receives no events.
struct daemon {
    fakes::message_store& store;
    role_lease machine;
    int acquisitions = 0;
    int losses = 0;
    int releases = 0;

    daemon(fakes::message_store& s, lease_options o) : store{s}, machine{std::move(o)} {}

    void send(const lease_event& e, base::time_point now) {
        std::deque<lease_event> events{e};
        while (!events.empty()) {
            const auto actions = machine.handle(events.front(), now);
            events.pop_front();
            for (const auto& a : actions) {
                run(a, events);
            }
        }
    }

    void run(const lease_action& a, std::deque<lease_event>& events) {
        if (const auto* p = std::get_if<base::store_put>(&a)) {
            events.emplace_back(store.call(*p));
        } else if (const auto* g = std::get_if<base::store_get>(&a)) {
            events.emplace_back(store.call(*g));
        } else if (std::holds_alternative<acquired>(a)) {
            ++acquisitions;
        } else if (std::holds_alternative<lost>(a)) {
            ++losses;
        } else {
            ++releases;
        }
    }
};

struct role_lease_test : testing::Test {
    fakes::message_store store;
    base::time_point now{1h};
    daemon a{store, options("a")};
    daemon b{store, options("b")};

    // Ticks the daemons every 100 ms and checks at each step that at most one of them may act (property P6).
    void run(base::duration d, std::initializer_list<daemon*> live) {
        for (const auto end = now + d; now < end; now += 100ms) {
            for (auto* p : live) {
                p->send(tick{}, now);
            }
            ASSERT_FALSE(a.machine.may_act(now) && b.machine.may_act(now)) << "two holders";
        }
    }

    // Ticks `live` until it may act, for at most 30 s. Returns the elapsed time.
    base::duration time_until_acting(daemon& live) {
        const auto start = now;
        while (!live.machine.may_act(now) && now < start + 30s) {
            run(100ms, {&live});
        }
        return now - start;
    }
};

// Guards against a role that stays without a holder after its holder has failed. A takeover must take at most
// 15 s.
TEST_F(role_lease_test, failed_holder_is_replaced_within_15_s_with_a_higher_term) {
    run(20s, {&a, &b});
    ASSERT_TRUE(a.machine.may_act(now));
    const auto t = time_until_acting(b);
    EXPECT_LE(t, 15s);
    EXPECT_GE(t, 7s + 5s - 3s);
    EXPECT_GT(b.machine.term(), a.machine.term());
}

// Guards against a holder that acts after a pause because it did not check its clock (P6).
TEST_F(role_lease_test, holder_paused_past_its_lease_does_not_act_on_resume) {
    run(1s, {&a});
    run(8s, {&b});
    EXPECT_FALSE(a.machine.may_act(now));
    run(30s, {&b});
    run(5s, {&a, &b});
    EXPECT_TRUE(b.machine.may_act(now));
    EXPECT_EQ(a.losses, 1);
}

// Guards against losing the role because the reply to a renewal that took effect was lost.
TEST_F(role_lease_test, renewal_with_a_lost_reply_keeps_the_role) {
    run(2s, {&a, &b});
    for (int i = 0; i < 10; ++i) {
        store.inject(store_fault::drop_reply);
        run(3s, {&a, &b});
    }
    EXPECT_TRUE(a.machine.may_act(now));
    EXPECT_EQ(a.losses, 0);
}

// Guards against two holders after the reply to an acquisition was lost.
TEST_F(role_lease_test, acquisition_with_a_lost_reply_has_one_holder) {
    store.inject(store_fault::none);
    store.inject(store_fault::drop_reply);
    run(20s, {&a, &b});
    EXPECT_TRUE(a.machine.may_act(now) != b.machine.may_act(now));
}

// Guards against measuring the lease from the time of the reply instead of the time of sending.
TEST_F(role_lease_test, slow_store_shortens_the_lease) {
    a.send(tick{}, now);
    ASSERT_TRUE(a.machine.may_act(now));
    const auto actions = a.machine.handle(tick{}, now + 3s);
    const auto put = std::get<base::store_put>(actions.at(0));
    a.machine.handle(store.call(put), now + 6s);
    EXPECT_TRUE(a.machine.may_act(now + 9900ms));
    EXPECT_FALSE(a.machine.may_act(now + 10s));
}

// Guards against a holder that still acts while the store is down for longer than the lease.
TEST_F(role_lease_test, store_down_ends_the_lease_and_the_role_returns_with_the_store) {
    run(2s, {&a, &b});
    store.set_down(true);
    run(8s, {&a, &b});
    EXPECT_FALSE(a.machine.may_act(now));
    run(60s, {&a, &b});
    store.set_down(false);
    run(15s, {&a, &b});
    EXPECT_TRUE(a.machine.may_act(now) != b.machine.may_act(now));
}

// Guards against two holders when the holder is paused while the store is down.
TEST_F(role_lease_test, store_down_and_holder_paused) {
    run(2s, {&a, &b});
    store.set_down(true);
    run(5s, {&b});
    store.set_down(false);
    run(20s, {&b});
    run(10s, {&a, &b});
    EXPECT_FALSE(a.machine.may_act(now));
    EXPECT_TRUE(b.machine.may_act(now));
}

// Guards against two holders when a delayed renewal reaches the store while its sender is paused.
TEST_F(role_lease_test, reply_lost_and_holder_paused) {
    run(2s, {&a, &b});
    store.inject(store_fault::delay);
    run(1s, {&a});
    run(11s, {&b});
    store.deliver_delayed();
    run(4s, {&b});
    run(20s, {&a, &b});
    EXPECT_TRUE(a.machine.may_act(now) != b.machine.may_act(now));
}

// Guards against a planned release that takes longer than 1 s, and against acting during it.
TEST_F(role_lease_test, release_passes_the_role_on_within_1_s) {
    run(5s, {&a, &b});
    a.send(release_requested{}, now);
    EXPECT_FALSE(a.machine.may_act(now));
    EXPECT_EQ(a.releases, 1);
    const auto object = store.find("lease/zone-control-a");
    b.send(object_observed{*object}, now);
    EXPECT_TRUE(b.machine.may_act(now));
    EXPECT_EQ(b.machine.term(), a.machine.term() + 1);
}

// Guards against a release that never finishes because its reply was lost.
TEST_F(role_lease_test, release_with_a_lost_reply_finishes) {
    run(5s, {&a, &b});
    store.inject(store_fault::drop_reply);
    a.send(release_requested{}, now);
    run(2s, {&a, &b});
    EXPECT_EQ(a.releases, 1);
    EXPECT_TRUE(b.machine.may_act(now));
}

// Guards against a release that never finishes while the store is down.
TEST_F(role_lease_test, release_with_the_store_down_finishes_when_the_lease_expires) {
    run(5s, {&a});
    store.set_down(true);
    a.send(release_requested{}, now);
    run(8s, {&a});
    EXPECT_EQ(a.releases, 1);
}

// Guards against a restarted daemon that acquires the lease while its previous process may still be running.
TEST_F(role_lease_test, restarted_daemon_waits_for_expiry_like_any_candidate) {
    run(2s, {&a});
    daemon restarted{store, options("a", 2)};
    const auto stopped_at = now;
    while (!restarted.machine.may_act(now)) {
        restarted.send(tick{}, now);
        ASSERT_FALSE(a.machine.may_act(now) && restarted.machine.may_act(now));
        now += 100ms;
    }
    EXPECT_GE(now - stopped_at, 12s);
    EXPECT_LE(now - stopped_at, 15s);
}

// Guards against a holder that measures its lease from the retry of an acquisition after an outage, although
// the first attempt took effect and only its reply was lost.
TEST_F(role_lease_test, reply_lost_and_then_store_down) {
    store.inject(store_fault::none);
    store.inject(store_fault::drop_reply);
    run(100ms, {&a});
    store.set_down(true);
    run(20s, {&a, &b});
    EXPECT_FALSE(a.machine.may_act(now));
    store.set_down(false);
    run(15s, {&a, &b});
    EXPECT_TRUE(a.machine.may_act(now) != b.machine.may_act(now));
}

// Guards against a former holder that acts on its expired lease after a network partition and a pause.
TEST_F(role_lease_test, partitioned_and_paused_holder_does_not_act) {
    run(2s, {&a, &b});
    store.inject(store_fault::drop_request);
    run(3s, {&a});
    run(16s, {&b});
    EXPECT_TRUE(b.machine.may_act(now));
    store.inject(store_fault::drop_request);
    a.send(tick{}, now);
    EXPECT_FALSE(a.machine.may_act(now));
    run(30s, {&a, &b});
    EXPECT_TRUE(b.machine.may_act(now));
}

// Guards against a role that stays with a daemon that cannot reach the store.
TEST_F(role_lease_test, partitioned_holder_stops_and_another_zone_member_takes_over) {
    fakes::message_store unreachable;
    unreachable.set_down(true);
    run(5s, {&a, &b});
    ASSERT_TRUE(a.machine.may_act(now));
    // Daemon a keeps running, but all its writes fail and its reads are not executed. Daemon b works
    // normally.
    for (const auto end = now + 15s; now < end; now += 100ms) {
        for (const auto& action : a.machine.handle(tick{}, now)) {
            if (const auto* p = std::get_if<base::store_put>(&action)) {
                a.machine.handle(unreachable.call(*p), now);
            }
        }
        b.send(tick{}, now);
        ASSERT_FALSE(a.machine.may_act(now) && b.machine.may_act(now));
    }
    EXPECT_TRUE(b.machine.may_act(now));
}

struct restored_lease_test : role_lease_test {
    void SetUp() override {
        for (auto* p : {&a, &b}) {
            p->send(era_changed{1, false}, now);
        }
        run(20s, {&a, &b});
        holder = a.machine.may_act(now) ? &a : &b;
        other = holder == &a ? &b : &a;
        ASSERT_TRUE(holder->machine.may_act(now));
    }

    daemon* holder = nullptr;
    daemon* other = nullptr;
};

// Failure: ONE, two holders with fencing token 2. The store returns from a copy without the lease.
TEST_F(restored_lease_test, term_is_not_given_out_again_after_the_store_has_lost_the_lease) {
    store = {};
    const auto term = holder->machine.term();
    // The holder is lost with the outage.
    other->send(era_changed{2, true}, now);
    EXPECT_LE(time_until_acting(*other), 15s);
    EXPECT_GT(other->machine.term(), term);
}

// Failure: a write that was meant for an earlier era meets its expected version in the new one and replaces
// the record of the holder; found by models/restored_lease.pml.
TEST_F(restored_lease_test, term_is_not_given_out_again_after_a_late_write_of_an_earlier_era) {
    store = {};
    other->send(era_changed{2, true}, now);
    time_until_acting(*other);
    const auto term = other->machine.term();
    const auto key = "lease/zone-control-a";
    const auto version = store.find(key)->version;
    store.call(base::store_put{1, key, encode(lease_record{"x", 1, 12, 9s, false, "x/1/1"}), version});
    daemon c{store, options("c")};
    c.send(era_changed{2, false}, now);
    EXPECT_LE(time_until_acting(c), 30s);
    EXPECT_GT(c.machine.term(), term);
}

// Failure: the holder cannot be reached by the store's return, and acts until its lease ends.
TEST_F(restored_lease_test, lease_that_the_store_has_lost_is_waited_for) {
    store.save_copy();
    run(5s, {holder, other});
    store = {};
    other->send(era_changed{2, true}, now);
    for (const auto end = now + 20s; now < end; now += 100ms) {
        other->send(tick{}, now);  // the holder gets no responses
        ASSERT_FALSE(holder->machine.may_act(now) && other->machine.may_act(now));
    }
    EXPECT_TRUE(other->machine.may_act(now));
}

// Guards against duties that rest for a lease because the holder waits for itself.
TEST_F(restored_lease_test, holder_acquires_the_lease_anew_at_once_with_a_higher_term) {
    const auto term = holder->machine.term();
    store = {};
    for (auto* p : {holder, other}) {
        p->send(era_changed{2, true}, now);
    }
    run(1s, {other, holder});
    EXPECT_TRUE(holder->machine.may_act(now));
    EXPECT_GT(holder->machine.term(), term);
    run(30s, {other, holder});
    EXPECT_TRUE(holder->machine.may_act(now));
}

// Failure: the copy holds the record of an earlier holder, which has restarted or lives on.
TEST_F(restored_lease_test, earlier_holder_does_not_take_its_old_record_for_its_lease) {
    store.save_copy();
    run(12s, {other});  // the holder is paused, and the other daemon takes over
    run(10s, {other});
    ASSERT_TRUE(other->machine.may_act(now));
    const auto term = other->machine.term();
    store.return_from_copy();  // names the first holder again
    for (auto* p : {holder, other}) {
        p->send(era_changed{2, true}, now);
    }
    run(30s, {holder, other});
    EXPECT_TRUE(other->machine.may_act(now) || holder->machine.may_act(now));
    EXPECT_GT(std::max(other->machine.term(), holder->machine.term()), term);
}

// Failure: a daemon that has just started cannot know when the store returned.
TEST_F(restored_lease_test, new_daemon_waits_before_it_takes_a_lease_that_nobody_seems_to_hold) {
    store = {};
    daemon started{store, options("c")};
    started.send(era_changed{2, false}, now);
    for (const auto end = now + 30s; now < end; now += 100ms) {
        started.send(tick{}, now);
        ASSERT_FALSE(holder->machine.may_act(now) && started.machine.may_act(now));
    }
    EXPECT_TRUE(started.machine.may_act(now));
}

// Guards against a record whose duration overflows the clock, so that the lease seems to have expired.
TEST(lease_record, duration_outside_the_clock_range_is_rejected) {
    for (const std::string length : {"9223372036854775807", "-1"}) {
        EXPECT_FALSE(decode_lease(R"({"holder":"a","incarnation":1,"term":1,"length_ms":)" + length +
                                  R"(,"free":false,"token":"t"})"));
    }
}

}  // namespace
}  // namespace chicorygap::lease
