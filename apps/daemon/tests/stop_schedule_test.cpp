#include "stop_schedule.h"

#include <gtest/gtest.h>

namespace chicorygap::daemon_app {
namespace {

using namespace std::chrono_literals;

TEST(stop_schedule, usual_grace_waits_for_the_load_balancer) {
    const auto s = make_stop_schedule(8s);
    EXPECT_EQ(s.accept_all_until, 2600ms);
    EXPECT_EQ(s.end_requests_at, 7300ms);
}

// Failure: with a grace below the removal from the load balancer, late requests were never refused. Guards
// against times that do not fit into the grace, or not in this order.
TEST(stop_schedule, times_are_in_order_within_any_grace) {
    for (const base::duration grace :
         {base::duration{500ms}, base::duration{1s}, base::duration{3s}, base::duration{30s}}) {
        const auto s = make_stop_schedule(grace);
        EXPECT_GT(s.accept_all_until, 0s);
        EXPECT_LT(s.accept_all_until, s.end_requests_at);
        EXPECT_LT(s.end_requests_at, s.exit_at);
        EXPECT_LT(s.exit_at, grace);
    }
}

}  // namespace
}  // namespace chicorygap::daemon_app
