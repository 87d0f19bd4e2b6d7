#include "distribution/distributor.h"

#include "fleet.h"

#include <gtest/gtest.h>

namespace chicorygap::distribution {
namespace {

const base::service_id booking{"booking"};

bool in_zone(const member& m, const char* zone) {
    return m.zone.str() == zone;
}

/// @return a fleet whose daemons are all ready and have version 101 of one document active.
fleet ready_fleet(int zones, int per_zone) {
    fleet f{zones, per_zone, 7};
    f.publish(booking_text({"a", "b"}));
    f.run(6s);
    EXPECT_TRUE(f.all([](node& n) { return n.ready && n.active == 101; }));
    return f;
}

TEST(distributor, change_is_active_everywhere_within_8_s_when_messages_are_lost) {
    // Guards against a daemon that never receives a version whose push was lost: gossip must deliver it
    // (P13).
    auto f = ready_fleet(2, 30);
    f.loss_rate = 0.3;
    EXPECT_LE(f.time_until_active(f.publish(booking_text({"a", "b"}, 2)), 20s), 8s);
}

TEST(distributor, revoked_key_is_removed_within_2_s) {
    // Guards against a revoked key that stays accepted for more than 2 s, also in a zone that reaches the
    // platform only through the daemons of another zone (P5).
    auto f = ready_fleet(2, 30);
    for (auto& n : f.nodes()) {
        n.platform_reachable = in_zone(n.id, "zone-1");
    }
    f.run(3s);
    EXPECT_LE(f.time_until_active(f.publish(booking_text({"a"})), 20s), 2s);
    const std::vector<base::key_digest> expected{document::hash_key("b")};
    EXPECT_TRUE(f.all([&](node& n) { return n.removed_keys == expected; }));
}

TEST(distributor, push_reaches_the_children_of_failed_members) {
    // Guards against a late key revocation after a rack failure, when a fifth of the zone has failed and
    // membership has not detected it yet (P5).
    auto f = ready_fleet(1, 60);
    for (std::size_t i = 0; i < f.nodes().size(); i += 5) {
        f.nodes()[i].alive = f.nodes()[i].daemon->is_relay();
    }
    EXPECT_LE(f.time_until_active(f.publish(booking_text({"a"})), 20s), 200ms);
}

TEST(distributor, two_relays_per_zone_watch_the_platform) {
    // Guards against too many calls to the platform: only the relays may watch.
    auto f = ready_fleet(2, 30);
    const auto watching = std::count_if(f.nodes().begin(), f.nodes().end(),
                                        [](const node& n) { return n.pending_watch.has_value(); });
    EXPECT_EQ(watching, 4);
}

TEST(distributor, other_daemons_watch_when_the_relays_cannot_reach_the_platform) {
    // Guards against changes that no longer arrive when both relays of the only zone lose the platform (P13).
    auto f = ready_fleet(1, 30);
    for (auto& n : f.nodes()) {
        n.platform_reachable = !n.daemon->is_relay();
    }
    f.run(1s);
    EXPECT_LE(f.time_until_active(f.publish(booking_text({"a"}, 2)), 20s), 8s);
}

TEST(distributor, invalid_version_leaves_the_last_valid_one_active) {
    // Guards against an invalid document that interrupts a service, also on daemons that start while the
    // invalid version is the newest.
    auto f = ready_fleet(1, 5);
    f.publish("[service]\nname = booking\n");
    f.run(3s);
    f.start(f.nodes()[3]);
    f.update_members();
    f.run(10s);
    EXPECT_TRUE(f.all([](node& n) { return n.active == 101 && n.ready && !n.invalid.empty(); }));
    EXPECT_EQ(f.nodes()[3].invalid.size(), 1U);
    EXPECT_NE(f.nodes()[3].invalid[0].faults.find("kind: key is missing"), std::string::npos);
    EXPECT_LE(f.time_until_active(f.publish(booking_text({"a"}, 3)), 20s), 8s);
}

TEST(distributor, document_whose_name_differs_from_its_key_is_invalid) {
    // Guards against a document stored under a wrong key that replaces the document of another service.
    document_set s;
    std::vector<action> out;
    s.offer({"document/other", 5, false, booking_text({"a"}), {}}, out);
    ASSERT_EQ(out.size(), 1U);
    EXPECT_NE(std::get<report_invalid>(out[0]).faults.find("differs from the object's key"),
              std::string::npos);
}

TEST(distributor, restarted_daemon_is_ready_only_with_the_versions_of_its_peers) {
    // Guards against a restarted daemon that serves an older version than its peers, because the store was
    // restored to an older state (P13).
    auto f = ready_fleet(1, 10);
    const auto old = f.stored();
    const auto newest = f.publish(booking_text({"a"}, 2));
    f.run(3s);
    f.restore_store(old);
    for (auto& n : f.nodes()) {
        f.start(n);
        f.update_members();
        f.run(8s);
        EXPECT_TRUE(n.ready);
        EXPECT_EQ(n.active_when_ready, newest);
    }
}

TEST(distributor, older_version_of_a_restored_platform_is_reported_and_not_used) {
    // Guards against daemons that revert to the older versions which the store lists after an outage (P13).
    auto f = ready_fleet(1, 10);
    const auto old = f.stored();
    const auto newest = f.publish(booking_text({"a"}, 2));
    f.run(3s);
    f.store_available = false;
    f.run(1h);
    f.restore_store(old);
    f.store_available = true;
    f.run(10s);
    EXPECT_TRUE(f.all([&](node& n) { return n.active == newest && !n.reverted; }));
    std::size_t reports = 0;
    for (const auto& n : f.nodes()) {
        reports += n.stale.size();
    }
    EXPECT_GE(reports, 1U);
    EXPECT_LE(f.time_until_active(f.publish(booking_text({"a"}, 3)), 20s), 8s);
}

TEST(distributor, newer_version_wins_regardless_of_the_order_of_pushes) {
    // Guards against an older version that stays active when two relays push different versions and the
    // pushes arrive in reverse order (P13).
    const document_version first{booking_key, 101, false, booking_text({"a", "b"}), {}};
    const document_version second{booking_key, 102, false, booking_text({"a"}), {}};
    const member relay{base::vm_id{"relay"}, base::zone_id{"zone-0"}};
    for (const bool reversed : {false, true}) {
        distributor_options o;
        o.vm = base::vm_id{"vm"};
        o.zone = relay.zone;
        const base::time_point now{std::chrono::hours{1}};
        distributor d{o, now};
        d.handle(message_received{relay, push{relay.vm, {reversed ? second : first}}}, now);
        d.handle(message_received{relay, push{relay.vm, {reversed ? first : second}}}, now);
        EXPECT_EQ(d.documents().entry(key_hash(booking_key)).active_version, 102U);
        const auto& active = *d.documents().active().at(0);
        EXPECT_EQ(active.find_key(document::hash_key("b"), {}).code, base::result_code::key_unknown);
    }
}

TEST(distributor, zone_catches_up_after_a_partition) {
    // Guards against a zone that misses a change made during a partition, or reverts to an older version
    // (P13).
    auto f = ready_fleet(2, 10);
    f.reachable = [](const member& a, const member& b) { return a.zone == b.zone; };
    for (auto& n : f.nodes()) {
        n.platform_reachable = in_zone(n.id, "zone-0");
    }
    f.update_members();
    const auto newest = f.publish(booking_text({"a"}, 2));
    f.run(60s);
    EXPECT_TRUE(f.all([&](node& n) { return n.active == (in_zone(n.id, "zone-0") ? newest : 101); }));
    f.reachable = [](const member&, const member&) { return true; };
    f.update_members();
    EXPECT_LE(f.time_until_active(newest, 20s), 8s);
    EXPECT_TRUE(f.all([](node& n) { return !n.reverted; }));
}

TEST(distributor, keys_are_rejected_only_after_their_lifetime_in_isolation) {
    // Guards against keys that stay accepted in an isolated zone without limit (P5), and against a zone that
    // rejects its callers during the first hour of a partition.
    auto f = ready_fleet(2, 10);
    const auto usable = [&](node& n) { return n.daemon->keys_usable(booking, f.now()); };
    for (auto& n : f.nodes()) {
        n.platform_reachable = in_zone(n.id, "zone-0");
    }
    f.run(2h);
    EXPECT_TRUE(f.all(usable)) << "another zone is reachable";
    f.reachable = [](const member& a, const member& b) { return a.zone == b.zone; };
    f.update_members();
    f.run(59min);
    EXPECT_TRUE(f.all(usable));
    f.run(2min);
    EXPECT_TRUE(f.all([&](node& n) { return usable(n) == in_zone(n.id, "zone-0"); }));
    f.reachable = [](const member&, const member&) { return true; };
    f.update_members();
    f.run(15s);
    EXPECT_TRUE(f.all(usable));
}

TEST(document_set, older_valid_version_is_used_while_the_newest_is_invalid) {
    // Guards against a new daemon that serves nothing when it receives an invalid version first, and against
    // an invalid version that is parsed and reported again each time a peer sends it.
    document_set s;
    std::vector<action> out;
    s.offer({booking_key, 7, false, "invalid", {}}, out);
    s.offer({booking_key, 6, false, "invalid too", {}}, out);
    EXPECT_TRUE(s.lacks({key_hash(booking_key), 7, 5}));
    s.offer({booking_key, 5, false, booking_text({"a"}), {}}, out);
    EXPECT_EQ(s.entry(key_hash(booking_key)), (digest_entry{key_hash(booking_key), 7, 5}));
    EXPECT_EQ(s.offer({booking_key, 6, false, "invalid too", {}}, out), offer_result::ignored);
    EXPECT_EQ(out.size(), 3U);
    EXPECT_TRUE(s.update_for({key_hash(booking_key), 7, 4}).empty())
        << "the peer may have rejected version 5 as invalid";
    EXPECT_EQ(s.update_for({key_hash(booking_key), 4, 4}).size(), 2U);
    EXPECT_FALSE(s.lacks({key_hash(booking_key), 7, 6}))
        << "rejected as invalid here, accepted by another release";
}

TEST(distributor, deleted_document_is_deactivated_and_not_restored) {
    // Guards against a deleted document that becomes active again through a peer that missed the deletion.
    document_set s;
    std::vector<action> out;
    s.offer({booking_key, 5, false, booking_text({"a"}), {}}, out);
    s.offer({booking_key, 7, true, "", {}}, out);
    EXPECT_EQ(std::get<deactivate>(out.back()).service, booking);
    EXPECT_EQ(s.offer({booking_key, 6, false, booking_text({"a"}, 2), {}}, out), offer_result::ignored);
    EXPECT_TRUE(s.active().empty());
}

TEST(distributor, single_edit_of_a_large_document_is_sent_as_a_delta) {
    // Guards against exceeding the limit of 10 KB/s per daemon: the full text of a document with 2,000 keys
    // has more than 100 KB.
    std::vector<std::string> keys;
    keys.reserve(2000);
    for (int i = 0; i < 2000; ++i) {
        keys.push_back("key-" + std::to_string(i));
    }
    document_set sender;
    document_set receiver;
    std::vector<action> out;
    const document_version first{booking_key, 5, false, booking_text(keys), {}};
    sender.offer(first, out);
    receiver.offer(first, out);
    keys[1000] = "replaced";
    sender.offer({booking_key, 6, false, booking_text(keys), {}}, out);
    const auto change = sender.latest_change(booking_key);
    ASSERT_TRUE(change.delta.has_value());
    EXPECT_LE(change.delta->replacement.size(), 64U);
    EXPECT_EQ(receiver.offer(change, out), offer_result::accepted);
    EXPECT_EQ(receiver.full_versions(key_hash(booking_key)), sender.full_versions(key_hash(booking_key)));
    document_set empty;
    EXPECT_EQ(empty.offer(change, out), offer_result::base_missing);
}

}  // namespace
}  // namespace chicorygap::distribution
