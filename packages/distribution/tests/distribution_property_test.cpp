#include "distribution/delta.h"
#include "distribution/rendezvous.h"
#include "fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace chicorygap::distribution {
namespace {

// Guards against a member that is missing from a push tree, or that has two parents in it.
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

// Guards against the replacement of one VM that changes the relays of most daemons.
RC_GTEST_PROP(rendezvous, removing_a_member_keeps_the_order_of_the_others, ()) {
    const auto names = *rc::gen::unique<std::vector<int>>(rc::gen::inRange(0, 1000));
    RC_PRE(!names.empty());
    std::vector<base::vm_id> members;
    members.reserve(names.size());
    for (const auto i : names) {
        members.emplace_back("vm-" + std::to_string(i));
    }
    auto order = rendezvous_order("relay", members);
    const auto removed = members.front();
    members.erase(members.begin());
    std::erase(order, removed);
    RC_ASSERT(rendezvous_order("relay", members) == order);
}

// Guards against a delta that produces a wrong text.
RC_GTEST_PROP(delta, restores_the_text_or_is_rejected,
              (const std::string& a, const std::string& b, const std::string& c)) {
    const auto base = a + b;
    const auto next = a + c + b;
    RC_ASSERT(apply_delta(base, make_delta(1, base, next)) == next);
    const auto other = apply_delta(c, make_delta(1, base, next));
    RC_ASSERT(!other || *other == next);
}

/// Applies one random change or fault to the fleet.
void inject_fault(fleet& f) {
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
            f.update_members();
            break;
        case 3:
            n.alive = !n.alive;
            f.update_members();
            break;
        case 4:
            n.platform_reachable = !n.platform_reachable;
            break;
        case 5:
            f.store_available = !f.store_available;
            break;
        default: {
            const auto partitioned = *rc::gen::inRange(0, 2);
            f.reachable = [partitioned](const member& a, const member& b) {
                return partitioned == 0 || a.zone == b.zone;
            };
            f.update_members();
        }
    }
}

// Guards against a daemon that applies an older version after a newer one, or lacks the newest version after
// the faults end, under reordered, lost and duplicate messages, restarts, partitions and outages (P13).
RC_GTEST_PROP(distributor, never_reverts_and_converges, ()) {
    fleet f{2, 4, *rc::gen::arbitrary<unsigned>()};
    f.reorder_messages = true;
    f.loss_rate = 0.2;
    f.publish(booking_text({"a"}));
    const auto fault_count = *rc::gen::inRange(0, 25);
    for (int i = 0; i < fault_count; ++i) {
        inject_fault(f);
        f.run(std::chrono::milliseconds{*rc::gen::inRange(0, 3000)});
        RC_ASSERT(f.all([](node& n) { return !n.reverted; }));
    }
    // The time limit holds only for reachable daemons, and `reorder_messages` delivers only a few messages
    // per step.
    f.reorder_messages = false;
    f.loss_rate = 0;
    f.store_available = true;
    f.reachable = [](const member&, const member&) { return true; };
    for (auto& n : f.nodes()) {
        n.platform_reachable = true;
        if (!n.alive) {
            f.start(n);
        }
    }
    f.update_members();
    const auto newest = f.publish(booking_text({"a"}, 2000));
    RC_ASSERT(f.time_until_active(newest, 30s) <= 8s);
    f.run(10s);
    RC_ASSERT(f.all([](node& n) { return !n.reverted && n.ready; }));
}

}  // namespace
}  // namespace chicorygap::distribution
