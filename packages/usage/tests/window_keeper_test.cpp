#include "usage/window_keeper.h"

#include "fakes/message_store.h"
#include "usage/counter_table.h"

#include <gtest/gtest.h>

#include <map>

namespace chicorygap::usage {
namespace {

using namespace std::chrono_literals;
using fakes::store_fault;

const row_key quick{base::service_id{"assistant"}, base::workspace_id{"north"}, base::class_id{"quick"}};

keeper_options options(const std::string& holder) {
    keeper_options o;
    o.zone = "a";
    o.holder = holder;
    o.incarnation = 1;
    return o;
}

// Keeper whose store calls are executed at once; billing accepts unless `bill_reply` says otherwise.
struct holder {
    fakes::message_store& store;
    window_keeper machine;
    bill_result bill_reply = bill_result::accepted;
    std::vector<send_bill> bills{};
    std::vector<report_taken> taken{};

    holder(fakes::message_store& s, keeper_options o) : store{s}, machine{std::move(o), [] { return 0U; }} {}

    void send(const keeper_event& e, base::time_point now) {
        for (const auto& a : machine.handle(e, now)) {
            std::visit([&](const auto& v) { run(v, now); }, a);
        }
    }

    void run(const base::store_put& a, base::time_point now) { send(store.call(a), now); }
    void run(const base::store_get& a, base::time_point now) { send(store.call(a), now); }
    void run(const report_taken& a, base::time_point /*now*/) { taken.push_back(a); }
    void run(const bill_rejected& /*a*/, base::time_point /*now*/) {}
    void run(const send_bill& a, base::time_point now) {
        bills.push_back(a);
        send(bill_replied{a.window, bill_reply}, now);
    }
};

struct window_keeper_test : testing::Test {
    fakes::message_store store;
    // The tests start at the beginning of window 1000.
    base::time_point now{1h};
    base::wall_time wall{60'000s};
    holder a{store, options("a")};
    holder b{store, options("b")};
    counter_table daemon{{"d1", 1}};

    window_keeper_test() { daemon.set_holder(1); }

    window_number window() const { return a.machine.window_of(wall); }
    void count(std::uint64_t n) { daemon.add(quick, {n, 10 * n, 20 * n}, window()); }
    void report(holder& h) {
        const auto r = daemon.make_report(window());
        h.send(r, now);
        if (!h.taken.empty()) {
            daemon.acknowledge(h.taken.back().term, h.taken.back().sequence);
        }
    }
    // Moves time in steps of 1 s and ticks the holders.
    void pass(base::duration d, std::initializer_list<holder*> live) {
        for (auto left = d; left > 0s; left -= 1s) {
            now += 1s;
            wall += 1s;
            for (auto* h : live) {
                h->send(tick{wall}, now);
            }
        }
    }
    static std::uint64_t billed(const holder& h) {
        std::uint64_t n = 0;
        for (const auto& bill : h.bills) {
            for (const auto& r : bill.rows) {
                n += r.figures.requests;
            }
        }
        return n;
    }
};

// Guards against counts that are billed in the wrong window or twice.
TEST_F(window_keeper_test, window_is_reported_once_with_its_counts) {
    a.send(role_acquired{1, wall}, now);
    pass(10s, {&a});
    count(3);
    report(a);
    report(a);
    pass(60s, {&a});
    count(4);
    report(a);
    pass(60s, {&a});
    ASSERT_EQ(a.bills.size(), 2U);
    EXPECT_EQ(a.bills[0].window, 1000);
    ASSERT_EQ(a.bills[0].rows.size(), 1U);
    EXPECT_EQ(a.bills[0].rows[0].figures, (counts{3, 30, 60}));
    EXPECT_EQ(a.bills[1].rows[0].figures, (counts{4, 40, 80}));
    EXPECT_TRUE(a.bills[1].rows[0].carry_over.zero());
}

// Guards against counts of the next window in a window that is frozen after the grace period.
TEST_F(window_keeper_test, counts_of_the_next_window_stay_out) {
    a.send(role_acquired{1, wall}, now);
    pass(59s, {&a});
    count(3);
    report(a);
    pass(2s, {&a});
    count(5);
    report(a);
    pass(5s, {&a});
    ASSERT_EQ(a.bills.size(), 1U);
    EXPECT_EQ(a.bills[0].rows.at(0).figures.requests, 3U);
}

// Guards against late counts that are lost or not marked.
TEST_F(window_keeper_test, late_counts_are_carried_over_and_marked) {
    a.send(role_acquired{1, wall}, now);
    pass(30s, {&a});
    count(3);
    pass(40s, {&a});
    count(2);
    report(a);
    pass(60s, {&a});
    ASSERT_EQ(a.bills.size(), 2U);
    EXPECT_TRUE(a.bills[0].rows.empty());
    EXPECT_EQ(a.bills[1].rows.at(0).figures.requests, 5U);
    EXPECT_EQ(a.bills[1].rows.at(0).carry_over.requests, 3U);
}

// Guards against different figures when billing's reply was lost and another holder reports again (P7).
TEST_F(window_keeper_test, billing_reply_lost_and_holder_killed_repeats_the_same_figures) {
    a.bill_reply = bill_result::lost;
    a.send(role_acquired{1, wall}, now);
    count(3);
    report(a);
    pass(64s, {&a});
    ASSERT_FALSE(a.bills.empty());
    count(7);
    b.send(role_acquired{2, wall}, now);
    daemon.set_holder(2);
    report(b);
    pass(5s, {&b});
    ASSERT_EQ(b.bills.size(), 1U);
    EXPECT_EQ(b.bills[0].window, a.bills[0].window);
    EXPECT_EQ(b.bills[0].rows.at(0).figures, a.bills[0].rows.at(0).figures);
    pass(60s, {&b});
    EXPECT_EQ(b.bills[1].rows.at(0).figures.requests, 7U);
}

// Guards against two versions of a window when a paused holder resumes (reply lost and holder paused).
TEST_F(window_keeper_test, paused_holder_takes_over_what_its_successor_froze) {
    a.send(role_acquired{1, wall}, now);
    count(3);
    report(a);
    b.send(role_acquired{2, wall}, now);
    daemon.set_holder(2);
    count(1);
    report(b);
    pass(64s, {&b});
    pass(1s, {&a});
    EXPECT_EQ(billed(b), 4U);
    for (const auto& bill : a.bills) {
        EXPECT_EQ(bill.rows.at(0).figures, b.bills[0].rows.at(0).figures);
    }
}

// Guards against a window that is frozen twice because the store's reply was lost.
TEST_F(window_keeper_test, lost_store_reply_freezes_once) {
    a.send(role_acquired{1, wall}, now);
    count(3);
    report(a);
    pass(62s, {&a});
    store.inject(store_fault::drop_reply);
    pass(62s, {&a});
    EXPECT_EQ(billed(a), 3U);
    EXPECT_EQ(a.machine.frozen(), 1001);
}

// Guards against lost or doubled counts after the store was down for an hour, and against a burst when it
// returns.
TEST_F(window_keeper_test, store_down_for_an_hour_loses_nothing) {
    auto o = options("c");
    o.limits.max_pending_windows = 10;
    fakes::message_store s;
    window_keeper machine{o, [] { return std::uint64_t{9'000'000'000}; }};
    holder c{s, o};
    c.machine = machine;
    c.send(role_acquired{1, wall}, now);
    s.set_down(true);
    for (int i = 0; i < 60; ++i) {
        count(1);
        report(c);
        pass(60s, {&c});
    }
    EXPECT_TRUE(c.bills.empty());
    s.set_down(false);
    pass(5s, {&c});
    EXPECT_TRUE(c.bills.empty()) << "the work after an outage waits for a random delay";
    pass(120s, {&c});
    EXPECT_EQ(billed(c), 60U);
    EXPECT_EQ(c.machine.reported(), c.machine.frozen());
}

// Guards against counts that are billed twice or never when the holder dies during an outage of the store.
TEST_F(window_keeper_test, store_down_and_holder_killed_bills_once) {
    a.send(role_acquired{1, wall}, now);
    count(3);
    report(a);
    pass(64s, {&a});
    store.set_down(true);
    count(4);
    report(a);
    pass(64s, {&a});
    store.set_down(false);
    b.send(role_acquired{2, wall}, now);
    daemon.set_holder(2);
    report(b);
    pass(180s, {&b});
    EXPECT_EQ(billed(a), 3U);
    EXPECT_EQ(billed(b), 4U);
}

// Guards against figures from memory when the freeze took effect but its sender was paused before it knew.
TEST_F(window_keeper_test, freeze_reply_lost_and_holder_paused_keeps_the_figures) {
    a.send(role_acquired{1, wall}, now);
    count(3);
    report(a);
    pass(62s, {&a});
    store.inject(store_fault::drop_reply);
    pass(1s, {&a});
    b.send(role_acquired{2, wall}, now);
    daemon.set_holder(2);
    count(2);
    report(b);
    pass(62s, {&b});
    pass(5s, {&a});
    EXPECT_EQ(billed(b), 5U);
    for (const auto& bill : a.bills) {
        EXPECT_EQ(bill.rows.at(0).figures, b.bills.at(0).rows.at(0).figures);
    }
}

// Guards against double counting when a daemon is killed and restarted, and against memory for dead
// incarnations.
TEST_F(window_keeper_test, restarted_daemon_is_counted_from_zero) {
    a.send(role_acquired{1, wall}, now);
    count(3);
    report(a);
    const auto delayed = daemon.make_report(window());
    daemon = counter_table{{"d1", 2}};
    daemon.set_holder(1);
    for (int i = 0; i < 5; ++i) {
        count(2);
        report(a);
        pass(60s, {&a});
    }
    a.send(delayed, now);
    pass(120s, {&a});
    EXPECT_EQ(billed(a), 3U + 10U);
    const auto record = decode_window(store.find("usage/a/1005")->value);
    EXPECT_EQ(record->marks.size(), 1U);
}

// Guards against unbounded memory in a daemon.
TEST(counter_table, rows_beyond_the_limit_are_counted_as_unassigned) {
    counter_table t{{"d1", 1}, 2};
    for (const auto* w : {"north", "south", "east", "west"}) {
        t.add({base::service_id{"s"}, base::workspace_id{w}, base::class_id{"c"}}, {1, 0, 0}, 1);
    }
    EXPECT_EQ(t.size(), 3U);
    const auto r = t.make_report(1);
    EXPECT_EQ(r.rows.at(0).total.requests, 2U);
}

}  // namespace
}  // namespace chicorygap::usage
