#include "simulated_network.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chicorygap::membership {
namespace {

using namespace testing;

bool was_reported_as(const node& n, const std::string& address, member_state s) {
    return std::ranges::any_of(n.changes, [&](const member_changed& c) {
        return c.subject.address == address && c.subject.state == s;
    });
}

// Guards against a crashed daemon that stays in the member list. Bound: one of the nine others probes it
// within one round of 9 s, usually within 2 s; it is suspected after 1 s and declared dead after 3 s more,
// and the update takes about 4 s to reach all members.
TEST(detection, all_members_detect_a_crash) {
    simulated_network net{1};
    net.add_zone("a", 10);
    EXPECT_LT(net.run_until([&] { return net.views_complete("a"); }, 30s), 15s);
    net.nodes.at("a:4").running = false;
    EXPECT_LT(net.run_until([&] { return net.all_see("a:4", false); }, 30s), 12s);
    EXPECT_EQ(net.nodes.at("a:0").protocol.live_members().size(), 9U);
}

// Guards against live members that are declared dead because messages were lost: each suspicion must be
// refuted in time.
RC_GTEST_PROP(detection, message_loss_causes_no_false_death, ()) {
    simulated_network net{*rc::gen::arbitrary<std::uint64_t>()};
    net.add_zone("a", 8);
    net.run(15s);
    net.loss_probability = 0.10;
    net.run(60s);
    for (const auto& [address, n] : net.nodes) {
        for (const auto& c : n.changes) {
            RC_ASSERT(c.subject.state != member_state::dead);
        }
    }
}

// Guards against the same failure with the seed for which a daemon that had learned of the suspicion from a
// peer declared the member dead before the refutation arrived.
TEST(detection, reported_suspicion_leaves_time_for_refutation) {
    simulated_network net{48};
    net.add_zone("a", 8);
    net.run(15s);
    net.loss_probability = 0.10;
    net.run(60s);
    for (const auto& [address, n] : net.nodes) {
        for (const auto& c : n.changes) {
            EXPECT_NE(c.subject.state, member_state::dead) << c.subject.address << " seen by " << address;
        }
    }
}

// Guards against an indirect probe that is not sent or not acknowledged: two members that cannot reach each
// other directly must not declare each other dead.
TEST(detection, indirect_probes_cover_a_broken_link) {
    simulated_network net{2};
    net.add_zone("a", 6);
    net.run(15s);
    net.link_blocked = [](const auto& x, const auto& y) {
        return (x == "a:1" && y == "a:2") || (x == "a:2" && y == "a:1");
    };
    net.run(60s);
    EXPECT_FALSE(was_reported_as(net.nodes.at("a:1"), "a:2", member_state::dead));
    EXPECT_FALSE(was_reported_as(net.nodes.at("a:2"), "a:1", member_state::dead));
}

// Guards against a paused daemon that stays dead after it resumes, or that declares others dead because of
// its own pause.
TEST(detection, resumed_daemon_rejoins_without_false_suspicions) {
    simulated_network net{3};
    net.add_zone("a", 6);
    net.run(15s);
    auto& paused = net.nodes.at("a:3");
    paused.paused = true;
    EXPECT_LT(net.run_until([&] { return net.all_see("a:3", false); }, 30s), 15s);
    net.run(20s);
    paused.changes.clear();
    paused.paused = false;
    EXPECT_LT(net.run_until([&] { return net.views_complete("a"); }, 30s), 15s);
    EXPECT_GT(paused.protocol.self().sequence, 0U);
    for (const auto& c : paused.changes) {
        EXPECT_NE(c.subject.state, member_state::dead);
    }
}

// Guards against a replacement daemon that is mistaken for its predecessor, also when its clock is behind the
// clock of the predecessor.
TEST(detection, replacement_under_the_same_address_is_a_new_incarnation) {
    for (const std::uint64_t incarnation : {std::uint64_t{900}, std::uint64_t{100}}) {
        simulated_network net{4};
        net.add_zone("a", 5);
        net.add("a:2", "a", 500);
        net.run(15s);
        net.add("a:2", "a", incarnation);
        net.run(15s);
        EXPECT_TRUE(net.views_complete("a"));
        const auto current = net.nodes.at("a:2").protocol.self().incarnation;
        EXPECT_GT(current, 500U);
        for (const auto& [address, n] : net.nodes) {
            const auto list = n.protocol.live_members();
            EXPECT_EQ(std::ranges::find(list, "a:2", &member::address)->incarnation, current);
        }
    }
}

// Guards against a planned shutdown that is reported as a crash.
TEST(detection, leaving_member_is_removed_without_suspicion) {
    simulated_network net{5};
    net.add_zone("a", 8);
    net.run(15s);
    net.handle_event("a:5", leave{});
    net.run(100ms);
    net.nodes.at("a:5").running = false;
    EXPECT_LT(net.run_until([&] { return net.all_see("a:5", false); }, 30s), 4s);
    net.run(30s);
    for (const auto& [address, n] : net.nodes) {
        EXPECT_FALSE(was_reported_as(n, "a:5", member_state::dead));
    }
}

// Guards against two partitions of a zone that do not merge after the network recovers.
TEST(detection, partitioned_zone_rejoins) {
    simulated_network net{6};
    net.add_zone("a", 6);
    net.run(15s);
    net.link_blocked = [](const auto& x, const auto& y) { return (x < "a:3") != (y < "a:3"); };
    net.run(60s);
    EXPECT_EQ(net.nodes.at("a:0").protocol.live_members().size(), 3U);
    net.link_blocked = [](const auto&, const auto&) { return false; };
    EXPECT_LT(net.run_until([&] { return net.views_complete("a"); }, 60s), 30s);
}

}  // namespace
}  // namespace chicorygap::membership
