#include "standin_platform/fleet_table.h"
#include "standin_platform/object_table.h"
#include "standin_platform/order_book.h"

#include <gtest/gtest.h>

namespace chicorygap::standin_platform {
namespace {

using namespace std::chrono_literals;

TEST(object_table, deleted_object_can_be_created_again_with_a_higher_version) {
    // Guards against a version that runs backwards, which daemons would ignore.
    object_table t;
    const auto first = t.put("k", "1", 0);
    EXPECT_FALSE(t.remove("k", first.version + 1).applied);
    const auto gone = t.remove("k", first.version);
    ASSERT_TRUE(gone.applied);
    EXPECT_FALSE(t.remove("k", 0).applied);
    EXPECT_GT(t.put("k", "2", 0).version, gone.version);
}

TEST(fleet_table, lists_show_the_state_of_the_lag_ago) {
    // Guards against tests that pass only because the stand-in's list is fresher than the platform's.
    base::time_point now{100s};
    fleet_table fleet{10s, [&] { return now; }};
    ports::vm v{base::vm_id{"vm-1"}, base::zone_id{"a"}, "127.0.0.1:1", ports::vm_state::live};
    fleet.set(v);
    EXPECT_TRUE(fleet.vms().empty());
    now += 10s;
    EXPECT_EQ(fleet.vms().size(), 1U);
    v.state = ports::vm_state::leaving;
    fleet.set(v);
    now += 9s;
    EXPECT_EQ(fleet.vms().at(0).state, ports::vm_state::live);
    now += 1s;
    EXPECT_EQ(fleet.vms().at(0).state, ports::vm_state::leaving);
}

TEST(fleet_table, orders_list_spare_servers_and_mark_released_ones) {
    // Guards against a scaling test whose orders have no effect.
    fleet_table fleet{0s, [] { return base::time_point{1s}; }};
    const base::zone_id zone{"a"};
    const base::service_id service{"s"};
    fleet.add_spare({base::backend_server_id{"e-1"}, zone, service, "k", "127.0.0.1:1", false, 8, {}});
    ports::order o{"o", zone, service, ports::order_action::request, "other", 1, {}, 1};
    fleet.apply(o);
    EXPECT_TRUE(fleet.servers(zone).empty());
    o.server_kind = "k";
    fleet.apply(o);
    ASSERT_EQ(fleet.servers(zone).size(), 1U);
    fleet.apply({"r", zone, service, ports::order_action::release, "", 1, base::backend_server_id{"e-1"}, 1});
    EXPECT_EQ(fleet.servers(zone).at(0).state, ports::vm_state::leaving);
}

TEST(order_book, stale_token_is_recorded_even_when_ignored) {
    // Guards against a platform that ignores tokens hiding a second role holder from the tests.
    int applied = 0;
    order_book book{true, [&](const ports::order&) { ++applied; }};
    ports::order o{"o1", base::zone_id{"a"}, {}, ports::order_action::request, "k", 1, {}, 5};
    book.submit(o);
    o.id = "o2";
    o.fencing_token = 4;
    EXPECT_TRUE(book.submit(o).accepted);
    EXPECT_EQ(applied, 2);
    EXPECT_EQ(book.records().at(1).stale, 1U);
}

}  // namespace
}  // namespace chicorygap::standin_platform
