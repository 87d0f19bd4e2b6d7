#include "orders/order_processor.h"

#include "fakes/message_store.h"

#include <gtest/gtest.h>

#include <map>

namespace chicorygap::orders {
namespace {

using namespace std::chrono_literals;
using fakes::store_fault;

order_options options(const std::string& holder) {
    order_options o;
    o.zone = "a";
    o.holder = holder;
    o.incarnation = 1;
    o.slot_count = 4;
    return o;
}

order_requested request_servers(const std::string& deduplication_key) {
    order_requested w;
    w.deduplication_key = deduplication_key;
    w.content.count = 2;
    w.content.argument = "a";
    return w;
}

// An order processor whose store calls complete at once. Sent orders are recorded; a test sends the replies.
struct holder {
    fakes::message_store& store;
    order_processor machine;
    std::vector<send_order> sent{};
    std::vector<std::string> drained{};
    std::map<std::string, int> settled{};
    int declined = 0;
    int superseded_count = 0;

    holder(fakes::message_store& s, order_options o) : store{s}, machine{std::move(o)} {}

    void send(const order_event& e, base::time_point now) {
        for (const auto& a : machine.handle(e, now)) {
            std::visit([&](const auto& v) { run(v, now); }, a);
        }
    }

    void run(const base::store_put& a, base::time_point now) { send(store.call(a), now); }
    void run(const base::store_list& a, base::time_point now) { send(store.call(a), now); }
    void run(const send_order& a, base::time_point /*now*/) { sent.push_back(a); }
    void run(const drain_server& a, base::time_point /*now*/) { drained.push_back(a.server); }
    void run(const order_settled& a, base::time_point /*now*/) { ++settled[a.deduplication_key]; }
    void run(const order_declined& /*a*/, base::time_point /*now*/) { ++declined; }
    void run(const superseded& /*a*/, base::time_point /*now*/) { ++superseded_count; }
};

struct order_processor_test : testing::Test {
    fakes::message_store store;
    base::time_point now{1h};
    holder a{store, options("a")};
    holder b{store, options("b")};
};

// Guards against an order that is sent without a stored record, which the next holder could not find.
TEST_F(order_processor_test, order_is_sent_only_after_its_record_is_stored) {
    a.send(role_acquired{1}, now);
    store.set_down(true);
    a.send(request_servers("n"), now);
    EXPECT_TRUE(a.sent.empty());
    store.set_down(false);
    a.send(tick{}, now + 1s);
    ASSERT_EQ(a.sent.size(), 1U);
    EXPECT_EQ(store.list("order/a/").size(), 1U);
}

// Guards against a second order after the reply of the receiver was lost.
TEST_F(order_processor_test, retry_has_the_same_id) {
    a.send(role_acquired{1}, now);
    a.send(request_servers("n"), now);
    a.send(order_replied{1, send_result::no_reply}, now);
    a.send(request_servers("n"), now);
    a.send(tick{}, now + 5s);
    ASSERT_EQ(a.sent.size(), 2U);
    EXPECT_EQ(a.sent[0].order_id, a.sent[1].order_id);
    a.send(order_replied{1, send_result::accepted}, now + 5s);
    a.send(tick{}, now + 1min);
    EXPECT_EQ(a.sent.size(), 2U);
    EXPECT_EQ(a.settled["n"], 1);
}

// Guards against an order that is stored twice because the reply of the store was lost.
TEST_F(order_processor_test, lost_store_reply_creates_one_record) {
    a.send(role_acquired{1}, now);
    store.inject(store_fault::drop_reply);
    a.send(request_servers("n"), now);
    a.send(tick{}, now + 1s);
    EXPECT_EQ(a.sent.size(), 1U);
    EXPECT_EQ(store.updates(), 1U);
}

// Guards against a second order with the same deduplication key by the next holder after the former holder
// was killed before it received the reply.
TEST_F(order_processor_test, next_holder_continues_the_open_order) {
    a.send(role_acquired{1}, now);
    a.send(request_servers("n"), now);
    b.send(role_acquired{2}, now);
    b.send(request_servers("n"), now);
    ASSERT_EQ(b.sent.size(), 1U);
    EXPECT_EQ(b.sent[0].order_id, a.sent[0].order_id);
    EXPECT_EQ(b.sent[0].term, 2U);
    b.send(order_replied{1, send_result::accepted}, now);
    b.send(request_servers("n"), now);
    EXPECT_EQ(b.sent.size(), 1U);
    EXPECT_EQ(b.settled["n"], 2) << "the result of the repeated request comes from the record";
}

// Guards against two orders when a delayed write of the former holder takes effect after the next holder has
// read the records.
TEST_F(order_processor_test, delayed_order_of_the_former_holder_is_continued) {
    a.send(role_acquired{1}, now);
    store.inject(store_fault::delay);
    a.send(request_servers("n"), now);
    b.send(role_acquired{2}, now);
    store.deliver_delayed();
    b.send(request_servers("n"), now);
    b.send(request_servers("m"), now);
    ASSERT_EQ(b.sent.size(), 2U);
    EXPECT_EQ(store.list("order/a/").size(), 2U);
}

// Guards against an order that is never sent because its record was stored after the takeover.
TEST_F(order_processor_test, delayed_order_is_found_without_a_new_request) {
    a.send(role_acquired{1}, now);
    store.inject(store_fault::delay);
    a.send(request_servers("n"), now);
    b.send(role_acquired{2}, now);
    store.deliver_delayed();
    b.send(tick{}, now + 31s);
    EXPECT_EQ(b.sent.size(), 1U);
}

// Guards against orders of two holders at a receiver that ignores fencing tokens.
TEST_F(order_processor_test, receiver_without_fencing_gets_no_order_before_the_delay) {
    auto w = request_servers("n");
    w.content.kind = order_kind::load_model;
    w.content.receiver_fences = false;
    b.send(role_acquired{2}, now);
    b.send(w, now);
    b.send(tick{}, now + 1900ms);
    EXPECT_TRUE(b.sent.empty());
    b.send(tick{}, now + 2s);
    EXPECT_EQ(b.sent.size(), 1U);
}

// Guards against a former holder that continues after a receiver reported a stale fencing token.
TEST_F(order_processor_test, stale_token_ends_the_role) {
    a.send(role_acquired{1}, now);
    a.send(request_servers("n"), now);
    a.send(order_replied{1, send_result::stale_token}, now);
    a.send(tick{}, now + 1min);
    EXPECT_EQ(a.superseded_count, 1);
    EXPECT_EQ(a.sent.size(), 1U);
}

// Guards against a release that interrupts running requests (P12), and against one that relies on a request
// count from before every daemon knew of the release.
TEST_F(order_processor_test, release_waits_for_running_requests) {
    auto w = request_servers("r");
    w.content.kind = order_kind::release_server;
    w.content.server = "s1";
    a.send(role_acquired{1}, now);
    a.send(w, now);
    ASSERT_EQ(a.drained.size(), 1U);
    a.send(running_requests_reported{"s1", 0}, now + 1s);
    EXPECT_TRUE(a.sent.empty());
    a.send(running_requests_reported{"s1", 3}, now + 3s);
    EXPECT_TRUE(a.sent.empty());
    a.send(running_requests_reported{"s1", 0}, now + 9s);
    EXPECT_EQ(a.sent.size(), 1U);
    b.send(role_acquired{2}, now + 20s);
    EXPECT_EQ(b.drained.size(), 1U);
    EXPECT_TRUE(b.sent.empty()) << "the next holder needs a new request count";
}

// Guards against an unlimited number of open orders. A slot is reused only after its order was accepted or
// rejected.
TEST_F(order_processor_test, open_orders_are_limited_and_none_is_dropped) {
    a.send(role_acquired{1}, now);
    for (int i = 0; i < 6; ++i) {
        a.send(request_servers(std::to_string(i)), now);
    }
    EXPECT_EQ(a.sent.size(), 4U);
    a.send(order_replied{1, send_result::accepted}, now);
    a.send(order_replied{2, send_result::rejected}, now);
    EXPECT_EQ(a.sent.size(), 6U);
    b.send(role_acquired{2}, now);
    EXPECT_EQ(b.sent.size(), 4U);
}

// Guards against orders by a daemon that does not hold the role.
TEST_F(order_processor_test, requests_without_the_role_are_declined) {
    a.send(request_servers("n"), now);
    EXPECT_EQ(a.declined, 1);
    a.send(role_acquired{1}, now);
    store.set_down(true);
    a.send(request_servers("n"), now);
    a.send(role_lost{}, now + 8s);
    EXPECT_EQ(a.declined, 2);
    EXPECT_TRUE(a.sent.empty());
}

}  // namespace
}  // namespace chicorygap::orders
