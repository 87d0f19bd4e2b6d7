#include "ports/http_platform.h"

#include "base/error.h"
#include "standin_platform/server.h"

#include <gtest/gtest.h>

#include <future>

namespace chicorygap::ports {
namespace {

using namespace std::chrono_literals;
using base::result_code;
using standin_platform::fault_kind;

class http_platform_test : public testing::Test {
protected:
    void fail_next(fault_kind kind, const std::string& path = "", base::duration delay = 0s) {
        server_.faults().add({kind, path, "", 1, delay});
    }

    /// Runs `call` and returns the code of the error that it throws, or `ok`.
    template <typename Call>
    result_code code_of(Call call) {
        try {
            call();
            return result_code::ok;
        } catch (const base::error& e) {
            return e.code();
        }
    }

    standin_platform::server server_{{}};
    http_platform platform_{{"127.0.0.1", server_.port()}};
};

TEST_F(http_platform_test, conditional_update_reports_the_stored_object_on_conflict) {
    // Guards against one operator's edit overwriting another's.
    auto& store = platform_.objects();
    const auto first = store.put("document/a b", "line 1\n\"quoted\"", 0, 1s);
    ASSERT_TRUE(first.applied);
    const auto second = store.put("document/a b", "other", 0, 1s);
    EXPECT_FALSE(second.applied);
    EXPECT_EQ(second.current, (object{"document/a b", "line 1\n\"quoted\"", first.version, false}));
    EXPECT_TRUE(store.put("document/a b", "other", first.version, 1s).applied);
    EXPECT_EQ(store.get("document/a b", 1s)->value, "other");
    EXPECT_EQ(store.list("document/", 1s).size(), 1U);
    EXPECT_FALSE(store.get("document/none", 1s).has_value());
}

TEST_F(http_platform_test, watch_returns_changes_and_deletions_in_order) {
    // Guards against a daemon missing a change between its list and its watch.
    auto& store = platform_.objects();
    const auto a = store.put("d/a", "1", 0, 1s);
    auto pending = std::async(std::launch::async, [&] { return store.watch("d/", a.version, 20s); });
    const auto b = store.put("d/b", "1", 0, 1s);
    EXPECT_EQ(pending.get(), (std::vector<object>{{"d/b", "1", b.version, false}}));
    const auto gone = store.remove("d/a", a.version, 1s);
    EXPECT_EQ(store.watch("d/", b.version, 20s), (std::vector<object>{{"d/a", "", gone.version, true}}));
    EXPECT_TRUE(store.watch("d/", gone.version, 1ms).empty());
}

TEST_F(http_platform_test, lost_reply_to_a_write_is_told_apart_from_a_refusal) {
    // Guards P6 and P7: a write that may have taken effect must not be reported as without effect.
    auto& store = platform_.objects();
    fail_next(fault_kind::refuse);
    EXPECT_EQ(code_of([&] { store.put("x", "1", 0, 1s); }), result_code::platform_unavailable);
    EXPECT_FALSE(store.get("x", 1s).has_value());
    fail_next(fault_kind::drop_reply);
    EXPECT_EQ(code_of([&] { store.put("x", "1", 0, 1s); }), result_code::platform_reply_lost);
    EXPECT_EQ(store.get("x", 1s)->value, "1");
    fail_next(fault_kind::drop_reply);
    EXPECT_EQ(code_of([&] { store.get("x", 1s); }), result_code::platform_unavailable);
}

TEST_F(http_platform_test, silent_platform_ends_a_call_at_its_timeout) {
    // Guards against a thread blocked for good by a platform that accepts connections but never replies.
    fail_next(fault_kind::silent, "/objects", 60s);
    const auto start = base::boot_clock::now();
    EXPECT_EQ(code_of([&] { platform_.objects().get("x", 50ms); }), result_code::platform_unavailable);
    EXPECT_LT(base::boot_clock::now() - start, 5s);
    fail_next(fault_kind::silent, "/orders", 60s);
    const order o{"o1", base::zone_id{"z"}, base::service_id{"s"}, order_action::request, "k", 1, {}, 1};
    EXPECT_EQ(code_of([&] { platform_.orders().submit(o, 50ms); }), result_code::platform_reply_lost);
}

TEST_F(http_platform_test, calls_work_again_after_a_restart) {
    // Guards against a pooled connection of before the restart failing the first call after it.
    auto& store = platform_.objects();
    store.put("x", "1", 0, 1s);
    fail_next(fault_kind::restart);
    EXPECT_EQ(code_of([&] { store.get("x", 1s); }), result_code::platform_unavailable);
    EXPECT_EQ(store.get("x", 1s)->value, "1");
}

TEST_F(http_platform_test, absent_platform_is_unavailable_also_for_writes) {
    // Guards against an unknown outcome being reported for a write whose connection was refused.
    http_platform absent{{"127.0.0.1", 1}};
    EXPECT_EQ(code_of([&] { absent.objects().put("x", "1", 0, 200ms); }), result_code::platform_unavailable);
}

TEST_F(http_platform_test, order_of_an_earlier_role_holder_is_rejected) {
    // Guards P6.
    order o{"o1", base::zone_id{"zone-a"}, base::service_id{"s"}, order_action::request, "k", 2, {}, 7};
    EXPECT_TRUE(platform_.orders().submit(o, 1s).accepted);
    EXPECT_TRUE(platform_.orders().submit(o, 1s).repeated);
    o.id = "o2";
    o.fencing_token = 6;
    const auto r = platform_.orders().submit(o, 1s);
    EXPECT_FALSE(r.accepted);
    EXPECT_EQ(r.newest_token, 7U);
    EXPECT_EQ(server_.orders().records().at(0).applied, 1U);
    EXPECT_EQ(server_.orders().records().at(0).first.count, 2U);
}

TEST_F(http_platform_test, order_and_report_are_not_sent_once_the_lease_has_lapsed) {
    // Guards P6 and P7: a holder that was paused while connecting must not write any more.
    const order o{"o1", base::zone_id{"z"}, base::service_id{"s"}, order_action::request, "k", 1, {}, 1};
    const auto lapsed = [] { return false; };
    EXPECT_EQ(code_of([&] { platform_.orders().submit_guarded(o, lapsed, 1s); }),
              result_code::lease_not_held);
    EXPECT_EQ(code_of([&] { platform_.billing().report_guarded({}, lapsed, 1s); }),
              result_code::lease_not_held);
    EXPECT_TRUE(server_.orders().records().empty());
    EXPECT_TRUE(server_.billing().windows().empty());
    EXPECT_TRUE(platform_.orders()
                    .submit_guarded(
                        o, [] { return true; }, 1s)
                    .accepted);
}

TEST_F(http_platform_test, window_is_billed_once_with_its_first_figures) {
    // Guards P7.
    usage_report r{base::zone_id{"zone-a"}, base::wall_time{60'000ms}, 3, {}};
    r.lines.push_back({base::service_id{"s"}, base::workspace_id{"w"}, base::class_id{"c"}, 1, 2, 3, true});
    EXPECT_TRUE(platform_.billing().report(r, 1s).accepted);
    EXPECT_TRUE(platform_.billing().report(r, 1s).repeated);
    r.lines[0].output_tokens = 4;
    EXPECT_FALSE(platform_.billing().report(r, 1s).accepted);
    EXPECT_TRUE(server_.billing().windows().at(0).differing);
}

TEST_F(http_platform_test, lists_carry_every_field_and_calls_are_counted_by_kind) {
    // Guards against a field lost on the way and against a budget of calls that misses some.
    const vm v{base::vm_id{"vm-1"}, base::zone_id{"zone-a"}, "127.0.0.1:1", vm_state::leaving};
    const backend_server s{base::backend_server_id{"e-1"},
                           base::zone_id{"zone-a"},
                           base::service_id{"s"},
                           "cheap",
                           "127.0.0.1:2",
                           true,
                           16,
                           vm_state::live};
    server_.fleet().set(v);
    server_.fleet().set(s);
    EXPECT_EQ(platform_.vms().vms(1s), std::vector<vm>{v});
    EXPECT_EQ(platform_.vms().servers(base::zone_id{"zone-a"}, 1s), std::vector<backend_server>{s});
    EXPECT_TRUE(platform_.vms().servers(base::zone_id{"zone-b"}, 1s).empty());
    platform_.objects().get("x", 1s);
    EXPECT_EQ(platform_.calls().calls(call_kind::server_list), 2U);
    EXPECT_EQ(platform_.calls().calls(call_kind::vm_list), 1U);
    EXPECT_EQ(platform_.calls().calls(call_kind::read), 1U);
    EXPECT_EQ(platform_.calls().calls(call_kind::write), 0U);
}

}  // namespace
}  // namespace chicorygap::ports
