#include "distribution/delta.h"
#include "distribution/rendezvous.h"
#include "fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace chicorygap::distribution {
namespace {

// Guards against a member that no parent sends to, or that receives every push twice from one tree.
RC_GTEST_PROP(push_tree, reaches_every_member_once, ()) {
    const auto n = *rc::gen::inRange<std::size_t>(1, 100);
    std::vector<base::vm_id> members;
    for (std::size_t i = 0; i < n; ++i) {
        members.emplace_back("vm-" + std::to_string(i));
    }
    const auto root = members[*rc::gen::inRange<std::size_t>(0, n)];
    std::vector<base::vm_id> reached{root};
    for (std::size_t i = 0; i < reached.size() && reached.size() <= n; ++i) {
        const auto children = push_children(root, reached[i], members);
        RC_ASSERT(children.size() <= push_fan_out);
        reached.insert(reached.end(), children.begin(), children.end());
    }
    RC_ASSERT(reached.size() == n);
    std::set<std::string> distinct;
    for (const auto& vm : reached) {
        distinct.insert(vm.str());
    }
    RC_ASSERT(distinct.size() == n);
}

// Guards against one replaced VM making most daemons change their relays.
RC_GTEST_PROP(rendezvous, order_of_the_others_survives_a_departure, ()) {
    const auto names = *rc::gen::unique<std::vector<int>>(rc::gen::inRange(0, 1000));
    RC_PRE(!names.empty());
    std::vector<base::vm_id> members;
    members.reserve(names.size());
    for (const auto i : names) {
        members.emplace_back("vm-" + std::to_string(i));
    }
    auto order = rendezvous_order("relay", members);
    const auto gone = members.front();
    members.erase(members.begin());
    std::erase(order, gone);
    RC_ASSERT(rendezvous_order("relay", members) == order);
}

// Guards against a text put together wrongly from a difference.
RC_GTEST_PROP(delta, restores_the_text_or_refuses,
              (const std::string& a, const std::string& b, const std::string& c)) {
    const auto base = a + b;
    const auto next = a + c + b;
    RC_ASSERT(apply_delta(base, make_delta(1, base, next)) == next);
    const auto other = apply_delta(c, make_delta(1, base, next));
    RC_ASSERT(!other || *other == next);
}

/// One random disturbance of the fleet.
void disturb(fleet& f) {
    auto& n = f.nodes()[*rc::gen::inRange<std::size_t>(0, f.nodes().size())];
    switch (*rc::gen::inRange(0, 7)) {
        case 0:
            f.publish(booking_text({"a"}, *rc::gen::inRange(1, 1000)));
            break;
        case 1:
            f.publish("[service]\nname = broken\n");
            break;
        case 2:
            f.start(n);
            f.announce();
            break;
        case 3:
            n.alive = !n.alive;
            f.announce();
            break;
        case 4:
            n.sees_platform = !n.sees_platform;
            break;
        case 5:
            f.store_up = !f.store_up;
            break;
        default: {
            const auto cut = *rc::gen::inRange(0, 2);
            f.linked = [cut](const member& a, const member& b) { return cut == 0 || a.zone == b.zone; };
            f.announce();
        }
    }
}

// Guards P13 under any order of messages, losses, duplicates, restarts, partitions and outages: no daemon
// applies an older version after a newer one, and all have the newest once the faults end.
RC_GTEST_PROP(distributor, never_reverts_and_converges, ()) {
    fleet f{2, 4, *rc::gen::arbitrary<unsigned>()};
    f.shuffle = true;
    f.loss = 0.2;
    f.publish(booking_text({"a"}));
    const auto disturbances = *rc::gen::inRange(0, 25);
    for (int i = 0; i < disturbances; ++i) {
        disturb(f);
        f.run(std::chrono::milliseconds{*rc::gen::inRange(0, 3000)});
        RC_ASSERT(f.all([](node& n) { return !n.reverted; }));
    }
    // The time limit is promised for reachable daemons; `shuffle` delivers only a few messages per step.
    f.shuffle = false;
    f.loss = 0;
    f.store_up = true;
    f.linked = [](const member&, const member&) { return true; };
    for (auto& n : f.nodes()) {
        n.sees_platform = true;
        if (!n.alive) {
            f.start(n);
        }
    }
    f.announce();
    const auto newest = f.publish(booking_text({"a"}, 2000));
    RC_ASSERT(f.time_to(newest, 30s) <= 8s);
    f.run(10s);
    RC_ASSERT(f.all([](node& n) { return !n.reverted && n.ready; }));
}

}  // namespace
}  // namespace chicorygap::distribution
