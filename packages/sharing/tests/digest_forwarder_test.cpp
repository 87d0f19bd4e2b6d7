#include "sharing/digest_forwarder.h"

#include "sharing/beacon.h"
#include "sharing/peer_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

namespace chicorygap::sharing {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t whole_size = 4900;
constexpr std::size_t short_size = 250;
constexpr std::size_t zone_size = 20;
constexpr base::duration interval = 300ms;

struct digest_forwarder_test : testing::Test {
    digest_forwarder_test() {
        for (std::size_t i = 0; i < zone_size; ++i) {
            receivers.push_back({"10.0.0." + std::to_string(i), 7200});
        }
    }

    /// Two other zones, each with two representatives, send digests to the given forwarders.
    /// @param lost index of a forwarder that passes nothing on; none if it is not smaller than the number.
    void run(std::vector<digest_forwarder>& forwarders, base::duration d, std::size_t lost = 99) {
        for (const auto end = now + d; now < end; now += interval / 4) {
            const auto n = step++;
            beacon b;
            b.vm = base::vm_id{"vm" + std::to_string(n % 4)};
            b.zone = base::zone_id{n % 2 == 0 ? "b" : "c"};
            b.zone_daemons = 20;
            b.sequence = n;
            b.zone_services[base::service_id{"s"}].waiting = 1;
            for (std::size_t k = 0; k < forwarders.size(); ++k) {
                const auto p = forwarders[k].plan(b, whole_size, short_size, receivers,
                                                  {.index = k, .count = forwarders.size()}, now);
                if (k == lost) {
                    continue;
                }
                bytes[k] += p.whole.size() * whole_size + p.without_loads.size() * short_size;
                for (const auto& r : p.whole) {
                    note(loads_age, loads_at, r, b.zone);
                    note(any_age, any_at, r, b.zone);
                }
                for (const auto& r : p.without_loads) {
                    note(any_age, any_at, r, b.zone);
                }
            }
        }
    }

    using route = std::pair<net::address, base::zone_id>;
    void note(base::duration& longest, std::map<route, base::time_point>& at, const net::address& r,
              const base::zone_id& zone) {
        auto& last = at[{r, zone}];
        if (last != base::time_point{}) {
            longest = std::max(longest, now - last);
        }
        last = now;
    }

    std::vector<net::address> receivers;
    base::time_point now{1000s};
    std::uint64_t step = 1;
    std::map<std::size_t, std::size_t> bytes;
    std::map<route, base::time_point> loads_at;
    std::map<route, base::time_point> any_at;
    base::duration loads_age{};  ///< longest time between two digests with loads to a daemon
    base::duration any_age{};    ///< the same for all digests
};

// Load: zones of 20 small VMs with links of 10 Mbit/s.
TEST_F(digest_forwarder_test, thin_links_are_used_to_a_tenth_and_all_daemons_get_their_turn) {
    std::vector<digest_forwarder> two(2, digest_forwarder{10});
    run(two, 30s);
    for (const auto& [k, n] : bytes) {
        EXPECT_LE(static_cast<double>(n) / 30, 125'000 * 1.01) << "representative " << k;
    }
    EXPECT_EQ(loads_at.size(), 2 * zone_size);
    EXPECT_LE(loads_age, 3s);
    EXPECT_LE(any_age, 1600ms) << "the lifetime of a digest";
}

// Load: the large VMs of a zone. Guards against loads that are older than before.
TEST_F(digest_forwarder_test, ample_links_pass_on_each_digest_once) {
    std::vector<digest_forwarder> two(2, digest_forwarder{200});
    run(two, 3s);
    EXPECT_EQ(bytes[0] + bytes[1], (step - 1) * zone_size * whole_size);
    EXPECT_LE(loads_age, interval);
}

// Failure: one representative is lost, and the other does not know yet.
TEST_F(digest_forwarder_test, daemons_depend_on_no_single_representative) {
    std::vector<digest_forwarder> two(2, digest_forwarder{0});
    run(two, 2s, 1);
    EXPECT_EQ(any_at.size(), 2 * zone_size);
}

TEST_F(digest_forwarder_test, news_are_not_held_back) {
    digest_forwarder f{0.001};
    beacon b;
    b.vm = base::vm_id{"vm"};
    b.zone = base::zone_id{"b"};
    b.zone_daemons = 20;
    EXPECT_EQ(f.plan(b, short_size, short_size, receivers, {}, now).whole.size(), zone_size);
}

// Load: VMs are replaced all day. Guards against routes that are remembered for good where no turns are
// needed.
TEST_F(digest_forwarder_test, receivers_are_forgotten) {
    for (const double link_mbits : {0.0, 10.0}) {
        digest_forwarder f{link_mbits};
        beacon b;
        b.vm = base::vm_id{"vm"};
        b.zone = base::zone_id{"b"};
        b.zone_daemons = 20;
        for (std::uint64_t n = 1; n <= 1000; ++n) {
            b.sequence = n;
            b.zone_services[base::service_id{"s"}].waiting = 1;
            static_cast<void>(
                f.plan(b, whole_size, short_size, {{"10.0.1." + std::to_string(n), 7200}}, {}, now));
            now += 1s;
        }
        EXPECT_LE(f.remembered_routes(), 60U) << "link " << link_mbits;
    }
}

TEST(peer_table_rank, vm_with_a_thin_link_ranks_behind_those_with_an_ample_one) {
    peer_table t{base::vm_id{"self"}};
    beacon other;
    other.vm = base::vm_id{"other"};
    other.zone = base::zone_id{"z"};
    other.processor_share = 0.12F;
    other.link_mbits = 200;
    t.observe(other, base::wall_time{}, base::time_point{10s});
    beacon self = other;
    self.vm = base::vm_id{"self"};
    self.processor_share = 0.5F;
    self.link_mbits = 10;
    EXPECT_EQ(t.higher_ranked_in_zone(self, base::time_point{10s}).size(), 1U);
    self.link_mbits = 0;  // unknown
    EXPECT_TRUE(t.higher_ranked_in_zone(self, base::time_point{10s}).empty());
}

}  // namespace
}  // namespace chicorygap::sharing
