#include "control/controller.h"

#include "control/shard_role.h"
#include "control/zone_role.h"
#include "memory_platform.h"
#include "usage/counter_table.h"

#include <gtest/gtest.h>

namespace chicorygap::control {
namespace {

using namespace std::chrono_literals;

struct controller_test : testing::Test {
    fakes::message_store objects;
    memory_orders orders;
    memory_billing billing;
    base::time_point now{1h};

    base::wall_time wall() const {
        return base::wall_time{std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch())};
    }

    // A daemon with the zone's role and one shard, with its own path to the store.
    struct daemon {
        memory_store store;
        controller control;
        zone_role* zone = nullptr;
        shard_role* shard = nullptr;
        std::vector<idempotency::decision> decisions;
        std::vector<usage::report_taken> taken;

        daemon(controller_test& t, const std::string& name)
            : store{t.objects}, control{[&t] { return t.now; }} {
            zone_role_hooks h;
            h.now = [&t] { return t.now; };
            h.wall_now = [&t] { return t.wall(); };
            h.random = [] { return 0U; };
            h.report_taken = [this](const auto& r) { taken.push_back(r); };
            zone_role_options o;
            o.zone = "a";
            o.daemon = name;
            o.incarnation = 1;
            zone = &control.add(std::make_unique<zone_role>(o, store, t.orders, t.billing, h));
            idempotency::shard_options s;
            s.owner = name;
            s.incarnation = 1;
            shard = &control.add(std::make_unique<shard_role>(
                s, 500ms, store, h.now, [this](const auto& d) { decisions.push_back(d); }));
        }
    };

    daemon a{*this, "a"};
    daemon b{*this, "b"};

    void run(base::duration d, std::initializer_list<daemon*> live) {
        for (const auto end = now + d; now < end; now += 100ms) {
            for (auto* v : live) {
                v->control.run_once();
            }
        }
    }

    static orders::order_requested grow() {
        orders::order_requested w;
        w.deduplication_key = "grow to 3";
        w.content.service = "assistant";
        w.content.argument = "cheap";
        w.content.count = 3;
        return w;
    }
};

// Guards against a second order of the platform when the reply is lost and the holder is killed.
TEST_F(controller_test, order_reply_lost_and_holder_killed) {
    run(1s, {&a, &b});
    orders.lose_replies = 1;
    a.zone->handle(orders::order_event{grow()});
    run(15s, {&b});
    b.zone->handle(orders::order_event{grow()});
    run(5s, {&b});
    ASSERT_EQ(orders.received.size(), 1U);
    EXPECT_EQ(orders.received.begin()->second, 2);
}

// Guards against an order by a holder whose store call lasted longer than its lease (store slow, holder
// paused).
TEST_F(controller_test, holder_paused_in_a_store_call_sends_no_order) {
    run(1s, {&a, &b});
    a.store.before_call = [&] { now += 10s; };
    a.zone->handle(orders::order_event{grow()});
    EXPECT_TRUE(orders.received.empty());
}

// Guards against an order and a report that a holder writes after its lease has ended, because it was paused
// between connecting and writing (P6, P7).
TEST_F(controller_test, holder_paused_while_connecting_writes_nothing) {
    usage::counter_table counts{{"d1", 1}};
    const usage::row_key key{base::service_id{"s"}, base::workspace_id{"w"}, base::class_id{"c"}};
    run(1s, {&a, &b});
    orders.connected = [&] { now += 10s; };
    a.zone->handle(orders::order_event{grow()});
    EXPECT_TRUE(orders.received.empty());
    orders.connected = nullptr;
    run(20s, {&a});
    counts.add(key, {2, 20, 40}, a.zone->windows().window_of(wall()));
    a.zone->handle(usage::keeper_event{counts.make_report(a.zone->windows().window_of(wall()))});
    const auto written = billing.windows.size();
    billing.connected = [&] { now += 10s; };
    run(70s, {&a});
    EXPECT_EQ(billing.windows.size(), written);
}

// Guards against orders by a holder that is cut off from the platform, and against a zone without a holder.
TEST_F(controller_test, partitioned_holder_stops_and_another_one_holds_the_role) {
    run(1s, {&a, &b});
    a.store.reachable = false;
    run(20s, {&a, &b});
    EXPECT_FALSE(a.zone->lease().may_act(now));
    EXPECT_TRUE(b.zone->lease().may_act(now));
    a.zone->handle(orders::order_event{grow()});
    EXPECT_TRUE(orders.received.empty());
}

// Guards against different figures when billing's replies are lost over a change of the holder (P7).
TEST_F(controller_test, billing_reply_lost_and_holder_killed) {
    usage::counter_table counts{{"d1", 1}};
    const usage::row_key key{base::service_id{"s"}, base::workspace_id{"w"}, base::class_id{"c"}};
    run(1s, {&a, &b});
    counts.add(key, {2, 20, 40}, a.zone->windows().window_of(wall()));
    a.zone->handle(usage::keeper_event{counts.make_report(a.zone->windows().window_of(wall()))});
    ASSERT_EQ(a.taken.size(), 1U);
    billing.lose_replies = 1'000;
    run(64s, {&a});
    counts.add(key, {5, 50, 90}, a.zone->windows().window_of(wall()));
    run(15s, {&b});
    b.zone->handle(usage::keeper_event{counts.make_report(a.zone->windows().window_of(wall()))});
    billing.lose_replies = 0;
    run(60s, {&b});
    EXPECT_EQ(billing.different, 0);
    std::uint64_t requests = 0;
    for (const auto& [start, lines] : billing.windows) {
        for (const auto& l : lines) {
            requests += l.requests;
        }
    }
    EXPECT_EQ(requests, 7U);
}

// Guards against a permit while the platform is unreachable (refused as not run) and against a second one
// later.
TEST_F(controller_test, claims_are_decided_once_over_an_outage) {
    run(1s, {&a});
    const idempotency::claim c{1, idempotency::make_record_id("w", "s", "k"), idempotency::make_digest("b")};
    a.shard->handle(c);
    ASSERT_EQ(a.decisions.size(), 1U);
    EXPECT_EQ(a.decisions[0].result, idempotency::verdict::granted);
    objects.set_down(true);
    auto other = c;
    other.number = 2;
    other.id = idempotency::make_record_id("w", "s", "k2");
    a.shard->handle(other);
    run(10s, {&a});
    ASSERT_EQ(a.decisions.size(), 2U);
    EXPECT_EQ(a.decisions[1].result, idempotency::verdict::refused);
    objects.set_down(false);
    run(15s, {&b});
    b.shard->handle(c);
    ASSERT_EQ(b.decisions.size(), 1U);
    EXPECT_EQ(b.decisions[0].result, idempotency::verdict::unknown);
}

// Guards against a planned shutdown after which the role stays unused until its lease expires.
TEST_F(controller_test, stop_hands_the_roles_over) {
    run(1s, {&a, &b});
    a.control.start();
    a.control.stop();
    run(1s, {&b});
    EXPECT_TRUE(b.zone->lease().may_act(now));
    EXPECT_TRUE(b.shard->lease().may_act(now));
}

}  // namespace
}  // namespace chicorygap::control
