#include "metering/meter.h"

#include <gtest/gtest.h>

namespace chicorygap::metering {
namespace {

using namespace std::chrono_literals;
const base::workspace_id north{"north"};

// Guards against losing the counts of a daemon that terminates, and against counting them twice after it
// restarts.
TEST(meter, fleet_counts_include_every_instance_of_every_daemon) {
    meter m{{base::vm_id{"a"}, 1}};
    const window_number w{5};
    m.count_request(w, north);
    m.count_request(w, north);
    m.merge({base::vm_id{"b"}, 1}, w, {{north, 3}});
    m.merge({base::vm_id{"b"}, 1}, w, {{north, 2}});  // outdated message
    m.merge({base::vm_id{"b"}, 2}, w, {{north, 1}});  // after a restart
    m.merge({base::vm_id{"a"}, 1}, w, {{north, 9}});  // own counts, returned by a peer
    EXPECT_EQ(m.fleet_counts(w), (workspace_counts{{north, 6}}));
    EXPECT_EQ(m.local_counts(w), (workspace_counts{{north, 2}}));
    m.discard_before(window_number{6});
    EXPECT_TRUE(m.fleet_counts(w).empty());
}

TEST(meter, windows_are_aligned_to_the_unix_epoch) {
    EXPECT_EQ(window_at(base::wall_time{9999ms}, 5s), window_number{1});
    EXPECT_EQ(window_at(base::wall_time{10000ms}, 5s), window_number{2});
    EXPECT_EQ(window_end(window_number{1}, 5s), base::wall_time{10000ms});
}

}  // namespace
}  // namespace chicorygap::metering
