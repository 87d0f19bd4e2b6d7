#include "metering/meter.h"

#include <gtest/gtest.h>

namespace chicorygap::metering {
namespace {

using namespace std::chrono_literals;
const base::workspace_id north{"north"};

// Guards against counts that are lost with a daemon, or counted twice when it starts again.
TEST(meter, total_keeps_every_start_of_every_daemon) {
    meter m{{base::vm_id{"a"}, 1}};
    const window_number w{5};
    m.count_request(w, north);
    m.count_request(w, north);
    m.merge({base::vm_id{"b"}, 1}, w, {{north, 3}});
    m.merge({base::vm_id{"b"}, 1}, w, {{north, 2}});  // an older message
    m.merge({base::vm_id{"b"}, 2}, w, {{north, 1}});  // started again
    m.merge({base::vm_id{"a"}, 1}, w, {{north, 9}});  // its own echo
    EXPECT_EQ(m.fleet_counts(w), (workspace_counts{{north, 6}}));
    EXPECT_EQ(m.local_counts(w), (workspace_counts{{north, 2}}));
    m.discard_before(window_number{6});
    EXPECT_TRUE(m.fleet_counts(w).empty());
}

TEST(meter, windows_have_borders_since_1970) {
    EXPECT_EQ(window_at(base::wall_time{9999ms}, 5s), window_number{1});
    EXPECT_EQ(window_at(base::wall_time{10000ms}, 5s), window_number{2});
    EXPECT_EQ(window_end(window_number{1}, 5s), base::wall_time{10000ms});
}

}  // namespace
}  // namespace chicorygap::metering
