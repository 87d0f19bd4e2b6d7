#include "shared_machines_fixture.h"

namespace chicorygap::scheduling {
namespace {

// Load: servers on shared machines often have a short queue of their own. Guards against all daemons leaving
// such a server out, which reduced the share served in trials.
TEST_F(shared_machines_test, a_report_with_a_queue_does_not_leave_the_server_out) {
    s.set_servers({server("a", 8)}, start_time);
    const auto first = submit(make_generation(start_time, 100), start_time);
    s.set_server_report(first, {.running = 2, .waiting = 5, .slots = 8, .pace = 1.0}, start_time + 10ms);
    const auto second = submit(make_generation(start_time + 10ms, 100), start_time + 10ms);
    EXPECT_EQ(server_of[second], "a");
}

// Guards against deployments without the contract that change their placement.
TEST_F(shared_machines_test, without_the_option_reports_are_ignored) {
    scheduler old{{base::vm_id{"self"}, base::zone_id{"z1"}}, [this] { return ++random_state; }};
    apply(old.set_servers({server("a", 4), server("b", 4)}, start_time));
    for (int i = 0; i < 8; ++i) {
        const auto request = make_request(start_time);
        apply(old.submit(request, start_time));
        old.set_server_report(request.id, {.running = 4, .waiting = 9, .slots = 4, .pace = 9.0}, start_time);
    }
    EXPECT_EQ(starts_by_server["a"], 4);
    EXPECT_EQ(starts_by_server["b"], 4);
}

}  // namespace
}  // namespace chicorygap::scheduling
