#include "distribution/distributor.h"

#include "fleet.h"

#include <gtest/gtest.h>

namespace chicorygap::distribution {
namespace {

const base::service_id booking{"booking"};

bool in_zone(const member& m, const char* zone) {
    return m.zone.str() == zone;
}

/// A fleet whose daemons all have one document and are ready.
fleet settled(int zones, int per_zone) {
    fleet f{zones, per_zone, 7};
    f.publish(booking_text({"a", "b"}));
    f.run(6s);
    EXPECT_TRUE(f.all([](node& n) { return n.ready && n.active == 101; }));
    return f;
}

TEST(distributor, change_is_active_everywhere_within_8_s_when_messages_are_lost) {
    // Guards P13: a push lost on its way down the tree must be made up for by gossip.
    auto f = settled(2, 30);
    f.loss = 0.3;
    EXPECT_LE(f.time_to(f.publish(booking_text({"a", "b"}, 2)), 20s), 8s);
}

TEST(distributor, revoked_key_is_withdrawn_within_2_s) {
    // Guards P5, also for a zone that reaches the platform only through another zone's daemons.
    auto f = settled(2, 30);
    for (auto& n : f.nodes()) {
        n.sees_platform = in_zone(n.id, "zone-1");
    }
    f.run(3s);
    EXPECT_LE(f.time_to(f.publish(booking_text({"a"})), 20s), 2s);
    const std::vector<base::key_digest> expected{document::hash_key("b")};
    EXPECT_TRUE(f.all([&](node& n) { return n.removed_keys == expected; }));
}

TEST(distributor, failed_members_do_not_cut_off_those_below_them) {
    // Guards P5 after a rack failure: a fifth of the zone is gone and membership does not know yet.
    auto f = settled(1, 60);
    for (std::size_t i = 0; i < f.nodes().size(); i += 5) {
        f.nodes()[i].alive = f.nodes()[i].daemon->is_relay();
    }
    EXPECT_LE(f.time_to(f.publish(booking_text({"a"})), 20s), 200ms);
}

TEST(distributor, two_relays_per_zone_watch_the_platform) {
    // Guards the budget of platform calls: not every daemon may watch.
    auto f = settled(2, 30);
    const auto watching = std::count_if(f.nodes().begin(), f.nodes().end(),
                                        [](const node& n) { return n.pending.has_value(); });
    EXPECT_EQ(watching, 4);
}

TEST(distributor, other_daemons_take_over_from_relays_without_platform) {
    // Guards P13: the two relays of the only zone losing their path must not stop changes.
    auto f = settled(1, 30);
    for (auto& n : f.nodes()) {
        n.sees_platform = !n.daemon->is_relay();
    }
    f.run(1s);
    EXPECT_LE(f.time_to(f.publish(booking_text({"a"}, 2)), 20s), 8s);
}

TEST(distributor, invalid_version_leaves_the_last_valid_one_active) {
    // Guards against one operator's mistake taking a service down, also on daemons started after the mistake.
    auto f = settled(1, 5);
    f.publish("[service]\nname = booking\n");
    f.run(3s);
    f.start(f.nodes()[3]);
    f.announce();
    f.run(10s);
    EXPECT_TRUE(f.all([](node& n) { return n.active == 101 && n.ready && !n.invalid.empty(); }));
    EXPECT_EQ(f.nodes()[3].invalid.size(), 1U);
    EXPECT_NE(f.nodes()[3].invalid[0].faults.find("kind: key is missing"), std::string::npos);
    EXPECT_LE(f.time_to(f.publish(booking_text({"a"}, 3)), 20s), 8s);
}

TEST(distributor, document_under_another_name_is_invalid) {
    // Guards against a document stored under the wrong key replacing another service's.
    document_set s;
    std::vector<action> out;
    s.offer({"document/other", 5, false, booking_text({"a"}), {}}, out);
    ASSERT_EQ(out.size(), 1U);
    EXPECT_NE(std::get<report_invalid>(out[0]).faults.find("differs from the object's key"),
              std::string::npos);
}

TEST(distributor, replaced_daemon_is_ready_only_with_its_peers_versions) {
    // Guards P13 across restarts: the store comes back with an older version, the peers have the newer one.
    auto f = settled(1, 10);
    const auto old = f.stored();
    const auto newest = f.publish(booking_text({"a"}, 2));
    f.run(3s);
    f.restore_store(old);
    for (auto& n : f.nodes()) {
        f.start(n);
        f.announce();
        f.run(8s);
        EXPECT_TRUE(n.ready);
        EXPECT_EQ(n.active_when_ready, newest);
    }
}

TEST(distributor, platform_restored_from_an_older_state_is_reported_and_not_followed) {
    // Guards P13: after an outage the store lists older versions.
    auto f = settled(1, 10);
    const auto old = f.stored();
    const auto newest = f.publish(booking_text({"a"}, 2));
    f.run(3s);
    f.store_up = false;
    f.run(1h);
    f.restore_store(old);
    f.store_up = true;
    f.run(10s);
    EXPECT_TRUE(f.all([&](node& n) { return n.active == newest && !n.reverted; }));
    std::size_t reports = 0;
    for (const auto& n : f.nodes()) {
        reports += n.stale.size();
    }
    EXPECT_GE(reports, 1U);
    EXPECT_LE(f.time_to(f.publish(booking_text({"a"}, 3)), 20s), 8s);
}

TEST(distributor, edits_of_two_operators_end_at_the_later_one_in_either_order) {
    // Guards P13: each relay learns of one of two edits first and pushes it; the two pushes cross.
    const document_version first{booking_key, 101, false, booking_text({"a", "b"}), {}};
    const document_version second{booking_key, 102, false, booking_text({"a"}), {}};
    const member relay{base::vm_id{"relay"}, base::zone_id{"zone-0"}};
    for (const bool crossed : {false, true}) {
        distributor_options o;
        o.vm = base::vm_id{"vm"};
        o.zone = relay.zone;
        const base::time_point now{std::chrono::hours{1}};
        distributor d{o, now};
        d.handle(message_received{relay, push{relay.vm, {crossed ? second : first}}}, now);
        d.handle(message_received{relay, push{relay.vm, {crossed ? first : second}}}, now);
        EXPECT_EQ(d.documents().entry(key_hash(booking_key)).active_version, 102U);
        const auto& active = *d.documents().active().at(0);
        EXPECT_EQ(active.find_key(document::hash_key("b"), {}).code, base::result_code::key_unknown);
    }
}

TEST(distributor, partitioned_zone_catches_up_after_healing) {
    // Guards P13: versions merge by number, and the partitioned zone never goes back.
    auto f = settled(2, 10);
    f.linked = [](const member& a, const member& b) { return a.zone == b.zone; };
    for (auto& n : f.nodes()) {
        n.sees_platform = in_zone(n.id, "zone-0");
    }
    f.announce();
    const auto newest = f.publish(booking_text({"a"}, 2));
    f.run(60s);
    EXPECT_TRUE(f.all([&](node& n) { return n.active == (in_zone(n.id, "zone-0") ? newest : 101); }));
    f.linked = [](const member&, const member&) { return true; };
    f.announce();
    EXPECT_LE(f.time_to(newest, 20s), 8s);
    EXPECT_TRUE(f.all([](node& n) { return !n.reverted; }));
}

TEST(distributor, keys_stop_working_only_after_their_lifetime_in_isolation) {
    // Guards P5 in isolation, and against a zone refusing its callers during the usual hour of a partition.
    auto f = settled(2, 10);
    const auto usable = [&](node& n) { return n.daemon->keys_usable(booking, f.now()); };
    for (auto& n : f.nodes()) {
        n.sees_platform = in_zone(n.id, "zone-0");
    }
    f.run(2h);
    EXPECT_TRUE(f.all(usable)) << "another zone is reachable";
    f.linked = [](const member& a, const member& b) { return a.zone == b.zone; };
    f.announce();
    f.run(59min);
    EXPECT_TRUE(f.all(usable));
    f.run(2min);
    EXPECT_TRUE(f.all([&](node& n) { return usable(n) == in_zone(n.id, "zone-0"); }));
    f.linked = [](const member&, const member&) { return true; };
    f.announce();
    f.run(15s);
    EXPECT_TRUE(f.all(usable));
}

TEST(document_set, older_valid_version_is_used_while_the_newest_is_invalid) {
    // Guards against a new daemon that first meets the invalid version serving nothing, and against parsing
    // and reporting an invalid version again each time that a peer offers it.
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
        << "the peer may have found version 5 invalid";
    EXPECT_EQ(s.update_for({key_hash(booking_key), 4, 4}).size(), 2U);
    EXPECT_FALSE(s.lacks({key_hash(booking_key), 7, 6})) << "found invalid here, accepted by another release";
}

TEST(distributor, deleted_document_is_withdrawn_and_not_revived) {
    // Guards against a service coming back from a peer that missed the deletion.
    document_set s;
    std::vector<action> out;
    s.offer({booking_key, 5, false, booking_text({"a"}), {}}, out);
    s.offer({booking_key, 7, true, "", {}}, out);
    EXPECT_EQ(std::get<deactivate>(out.back()).service, booking);
    EXPECT_EQ(s.offer({booking_key, 6, false, booking_text({"a"}, 2), {}}, out), offer_result::ignored);
    EXPECT_TRUE(s.active().empty());
}

TEST(distributor, one_edit_of_a_large_document_is_sent_as_its_difference) {
    // Guards the budget of 10 KB/s per daemon: a whole document of 2,000 keys has more than 100 KB.
    std::vector<std::string> keys;
    keys.reserve(2000);
    for (int i = 0; i < 2000; ++i) {
        keys.push_back("key-" + std::to_string(i));
    }
    document_set from;
    document_set to;
    std::vector<action> out;
    const document_version first{booking_key, 5, false, booking_text(keys), {}};
    from.offer(first, out);
    to.offer(first, out);
    keys[1000] = "replaced";
    from.offer({booking_key, 6, false, booking_text(keys), {}}, out);
    const auto change = from.latest_change(booking_key);
    ASSERT_TRUE(change.delta.has_value());
    EXPECT_LE(change.delta->replacement.size(), 64U);
    EXPECT_EQ(to.offer(change, out), offer_result::accepted);
    EXPECT_EQ(to.full_versions(key_hash(booking_key)), from.full_versions(key_hash(booking_key)));
    document_set empty;
    EXPECT_EQ(empty.offer(change, out), offer_result::base_missing);
}

}  // namespace
}  // namespace chicorygap::distribution
