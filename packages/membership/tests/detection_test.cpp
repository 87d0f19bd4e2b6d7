#include "simulated_network.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chicorygap::membership {
namespace {

using namespace testing;

bool declared(const node& n, const std::string& address, member_state s) {
    return std::ranges::any_of(n.changes, [&](const member_changed& c) {
        return c.subject.address == address && c.subject.state == s;
    });
}

// Guards against a crashed daemon that stays in the view. Bound: it is probed within one round of 9 s by one
// of the nine others, usually within 2 s, is suspected after 1 s, dead after 3 s more, and the news takes
// about 4 s.
TEST(detection, crash_is_noticed_by_all) {
    simulated_network net{1};
    net.add_zone("a", 10);
    EXPECT_LT(net.run_until([&] { return net.complete("a"); }, 30s), 15s);
    net.nodes.at("a:4").running = false;
    EXPECT_LT(net.run_until([&] { return net.all_see("a:4", false); }, 30s), 12s);
    EXPECT_EQ(net.nodes.at("a:0").protocol.live_members().size(), 9U);
}

// Guards against live members that are declared dead because messages were lost: suspicion is refuted in
// time.
RC_GTEST_PROP(detection, loss_does_not_kill_live_members, ()) {
    simulated_network net{*rc::gen::arbitrary<std::uint64_t>()};
    net.add_zone("a", 8);
    net.run(15s);
    net.loss = 0.10;
    net.run(60s);
    for (const auto& [address, n] : net.nodes) {
        for (const auto& c : n.changes) {
            RC_ASSERT(c.subject.state != member_state::dead);
        }
    }
}

// Guards against the same with the seed for which a daemon that had only heard of the suspicion declared the
// member dead before its refutation arrived.
TEST(detection, heard_suspicion_waits_for_the_refutation) {
    simulated_network net{48};
    net.add_zone("a", 8);
    net.run(15s);
    net.loss = 0.10;
    net.run(60s);
    for (const auto& [address, n] : net.nodes) {
        for (const auto& c : n.changes) {
            EXPECT_NE(c.subject.state, member_state::dead) << c.subject.address << " seen by " << address;
        }
    }
}

// Guards against an indirect probe that is not sent or not answered: two members that cannot reach each other
// directly do not declare each other dead.
TEST(detection, broken_link_between_two_members_is_bridged) {
    simulated_network net{2};
    net.add_zone("a", 6);
    net.run(15s);
    net.cut = [](const auto& x, const auto& y) {
        return (x == "a:1" && y == "a:2") || (x == "a:2" && y == "a:1");
    };
    net.run(60s);
    EXPECT_FALSE(declared(net.nodes.at("a:1"), "a:2", member_state::dead));
    EXPECT_FALSE(declared(net.nodes.at("a:2"), "a:1", member_state::dead));
}

// Guards against a paused daemon that stays dead after it returns, or that blames the others for its own
// pause.
TEST(detection, paused_daemon_returns_and_blames_nobody) {
    simulated_network net{3};
    net.add_zone("a", 6);
    net.run(15s);
    auto& paused = net.nodes.at("a:3");
    paused.paused = true;
    EXPECT_LT(net.run_until([&] { return net.all_see("a:3", false); }, 30s), 15s);
    net.run(20s);
    paused.changes.clear();
    paused.paused = false;
    EXPECT_LT(net.run_until([&] { return net.complete("a"); }, 30s), 15s);
    EXPECT_GT(paused.protocol.self().sequence, 0U);
    for (const auto& c : paused.changes) {
        EXPECT_NE(c.subject.state, member_state::dead);
    }
}

// Guards against a replaced daemon that is taken for its predecessor, also when its clock is behind the
// other's.
TEST(detection, replacement_under_the_same_address_is_a_new_incarnation) {
    for (const std::uint64_t incarnation : {std::uint64_t{900}, std::uint64_t{100}}) {
        simulated_network net{4};
        net.add_zone("a", 5);
        net.add("a:2", "a", 500);
        net.run(15s);
        net.add("a:2", "a", incarnation);
        net.run(15s);
        EXPECT_TRUE(net.complete("a"));
        const auto current = net.nodes.at("a:2").protocol.self().incarnation;
        EXPECT_GT(current, 500U);
        for (const auto& [address, n] : net.nodes) {
            const auto list = n.protocol.live_members();
            EXPECT_EQ(std::ranges::find(list, "a:2", &member::address)->incarnation, current);
        }
    }
}

// Guards against a planned shutdown that looks like a crash.
TEST(detection, leaving_member_is_removed_without_suspicion) {
    simulated_network net{5};
    net.add_zone("a", 8);
    net.run(15s);
    net.tell("a:5", leave{});
    net.run(100ms);
    net.nodes.at("a:5").running = false;
    EXPECT_LT(net.run_until([&] { return net.all_see("a:5", false); }, 30s), 4s);
    net.run(30s);
    for (const auto& [address, n] : net.nodes) {
        EXPECT_FALSE(declared(n, "a:5", member_state::dead));
    }
}

// Guards against two halves of a zone that never find each other again.
TEST(detection, split_zone_heals) {
    simulated_network net{6};
    net.add_zone("a", 6);
    net.run(15s);
    net.cut = [](const auto& x, const auto& y) { return (x < "a:3") != (y < "a:3"); };
    net.run(60s);
    EXPECT_EQ(net.nodes.at("a:0").protocol.live_members().size(), 3U);
    net.cut = [](const auto&, const auto&) { return false; };
    EXPECT_LT(net.run_until([&] { return net.complete("a"); }, 60s), 30s);
}

}  // namespace
}  // namespace chicorygap::membership
