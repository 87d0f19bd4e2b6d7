#include "base/time.h"
#include "net/datagram_socket.h"
#include "net/loop.h"
#include "sharing/beacon.h"
#include "standin/cloud_api.h"
#include "standin/daemon_process.h"
#include "standin/object_store.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chicorygap::testing_fleet {
namespace {

using namespace std::chrono_literals;

/// One daemon on a VM with a thin link, which represents a zone of 20, beside simulated peers.
struct thin_link : testing::Test {
    static constexpr double link_mbits = 10;
    static constexpr std::size_t peer_count = 19;
    /// Servers in a digest of another zone.
    static constexpr int server_count = 90;

    struct peer {
        std::unique_ptr<net::datagram_socket> socket;
        sharing::beacon state;
        /// Times at which digests of other zones with loads were passed on to it, by zone.
        std::map<std::string, std::vector<base::time_point>> loads_received;
    };

    void SetUp() override {
        std::filesystem::create_directories(folder);
        process =
            std::make_unique<standin::daemon_process>(standin::daemon_options{.program = CHICORYGAPD,
                                                                              .directory = folder,
                                                                              .vm = "daemon",
                                                                              .zone = "a",
                                                                              .host = "127.0.61.1",
                                                                              .store = store.address(),
                                                                              .cloud_api = duties.address(),
                                                                              .seeds = {},
                                                                              .link_mbits = link_mbits});
        for (std::size_t i = 0; i < peer_count; ++i) {
            add_peer("peer-" + std::to_string(i), "a", 10 + i, 0.1F);
        }
        peers.at(0).state.processor_share = 0.2F;  // the second representative
        for (const auto* zone : {"b", "c"}) {
            for (std::size_t i = 0; i < 2; ++i) {
                add_peer(std::string{zone} + std::to_string(i), zone, 40 + peers.size(), 0.5F);
            }
        }
    }

    void add_peer(const std::string& vm, const std::string& zone, std::size_t host, float processor_share) {
        const net::address at{"127.0.61." + std::to_string(host), standin::daemon_process::peers_port};
        const auto index = peers.size();
        peers.emplace_back();
        auto& p = peers.back();
        p.socket = std::make_unique<net::datagram_socket>(
            loop, at, [this, index](std::string_view bytes) { received(index, bytes); });
        p.state.vm = base::vm_id{vm};
        p.state.zone = base::zone_id{zone};
        p.state.incarnation = 1;
        p.state.peer_address = at;
        p.state.operator_address = {at.host, standin::daemon_process::operators_port};
        p.state.processor_share = processor_share;
        p.state.link_mbits = processor_share >= 0.5F ? 200 : link_mbits;
    }

    void received(std::size_t index, std::string_view bytes) {
        const auto b = sharing::decode(bytes);
        if (!b || b->zone_daemons == 0 || b->zone == base::zone_id{"a"}) {
            return;
        }
        forwarded_bytes += bytes.size();
        if (!b->zone_services.empty()) {
            peers.at(index).loads_received[b->zone.str()].push_back(base::boot_clock::now());
        }
    }

    /// Sends what the peers tell the daemon in one interval.
    void send_beacons() {
        for (auto& p : peers) {
            auto b = p.state;
            b.sequence = ++p.state.sequence;
            b.wall_time = base::wall_clock_now();
            if (b.zone != base::zone_id{"a"}) {
                b.zone_daemons = 20;
                auto& load = b.zone_services[base::service_id{"assistant"}];
                for (int i = 0; i < server_count; ++i) {
                    load.servers.push_back({base::backend_server_id{"i-" + std::to_string(1'000'000 + i)}, 9,
                                            80'000 + i, 9000, 70'000, false});
                }
            }
            p.socket->send({"127.0.61.1", standin::daemon_process::peers_port}, sharing::encode(b));
        }
    }

    void run_for(base::duration d) {
        const auto end = base::boot_clock::now() + d;
        for (auto next = base::boot_clock::now(); base::boot_clock::now() < end;) {
            if (base::boot_clock::now() >= next) {
                next += 300ms;
                send_beacons();
            }
            loop.run_once(10ms);
        }
    }

    net::loop loop;
    standin::object_store store{loop, {"127.0.0.1", 0}};
    standin::cloud_api duties{loop, {"127.0.0.1", 0}};
    std::string folder = testing::TempDir() + "chicorygap-thin-link";
    std::unique_ptr<standin::daemon_process> process;
    std::vector<peer> peers;
    std::size_t forwarded_bytes = 0;
};

// Failure: capped-in-a-burst-with-stops seed 449010116315 of utkp-router-grown. While the large VMs of a zone
// were away, a small one passed 1.4 MB/s of digests on over 1.25 MB/s; resets of requests whose callers had
// left came seconds late to the servers.
TEST_F(thin_link, representative_leaves_its_link_to_callers) {
    process->start();
    run_for(2s);
    forwarded_bytes = 0;
    constexpr base::duration measured = 4s;
    run_for(measured);
    const double bytes_per_s =
        static_cast<double>(forwarded_bytes) / std::chrono::duration<double>{measured}.count();
    EXPECT_LE(bytes_per_s, link_mbits * 1e6 / 8 / 10) << "a tenth of the link";
    // Loads of the other zones still reach all daemons of the zone, directly or by the second representative,
    // which passes on as much.
    std::size_t reached = 0;
    for (std::size_t i = 0; i < peer_count; ++i) {
        reached += peers.at(i).loads_received["b"].empty() ? 0 : 1;
        reached += peers.at(i).loads_received["c"].empty() ? 0 : 1;
    }
    EXPECT_GE(reached, 2 * peer_count - 2) << "at most the second representative is left out";
}

}  // namespace
}  // namespace chicorygap::testing_fleet
