#include "peer/gossip.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <random>
#include <string>

namespace chicorygap::peer {
namespace {

using namespace std::chrono_literals;

/// One daemon on loopback; the port must be known before the fleet starts.
struct daemon {
    daemon(const std::string& address, const base::now_function& now, std::uint64_t seed)
        : fleet{{.self = {.id = base::vm_id{"vm-" + address},
                          .address = address,
                          .zone = base::zone_id{"a"},
                          .incarnation = 1}},
                [g = std::make_shared<std::mt19937_64>(seed)] { return (*g)(); },
                now,
                {}},
          server{std::make_unique<node>(
              node_options{.listen = address, .call_timeout = 500ms},
              handlers{.probe = [this](const auto& m) { return fleet.receive(m); },
                       .probe_indirect = [this](const auto& m) { return fleet.receive(m); },
                       .status = [] { return std::string{}; }})} {
        fleet.attach(*server);
    }

    [[nodiscard]] std::size_t live() const {
        std::size_t n = 0;
        fleet.read([&n](const auto& f) { n = f.live_members().size(); });
        return n;
    }

    gossip fleet;
    std::unique_ptr<node> server;
};

std::string free_address() {
    const node n{{}, {}};
    return "127.0.0.1:" + std::to_string(n.port());
}

// Guards against an adapter that loses answers or indirect probes: three daemons find each other over real
// sockets, and two of them notice that the third is gone. Time is injected; a status call flushes what was
// sent before.
TEST(gossip, daemons_find_each_other_and_notice_a_crash) {
    std::atomic<std::int64_t> ms{1000000};
    const base::now_function now = [&ms] { return base::time_point{std::chrono::milliseconds{ms.load()}}; };
    std::vector<std::unique_ptr<daemon>> daemons;
    membership::seeds_changed seeds;
    for (std::uint64_t i = 0; i < 3; i++) {
        const auto address = free_address();
        daemons.push_back(std::make_unique<daemon>(address, now, i));
        seeds.seeds.push_back({address, base::zone_id{"a"}});
    }
    for (auto& d : daemons) {
        d->fleet.handle(seeds);
    }
    const auto run_until = [&](std::size_t live) {
        for (int step = 0; step < 300; step++) {
            ms += 100;
            for (auto& d : daemons) {
                d->fleet.handle(membership::tick{});
            }
            for (auto& d : daemons) {
                for (std::size_t i = 0; i < daemons.size(); i++) {
                    await<std::string>([&](auto done) { d->server->status(seeds.seeds[i].address, done); });
                }
            }
            if (std::ranges::all_of(daemons, [live](const auto& d) { return d->live() == live; })) {
                return true;
            }
        }
        return false;
    };
    EXPECT_TRUE(run_until(3));
    daemons.pop_back();
    EXPECT_TRUE(run_until(2));
}

}  // namespace
}  // namespace chicorygap::peer
