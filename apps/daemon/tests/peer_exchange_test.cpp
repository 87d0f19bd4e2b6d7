#include "peer_exchange.h"

#include "base/store_era.h"
#include "platform/object_codec.h"
#include "standin/object_store.h"

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <string>

namespace chicorygap::daemon_app {
namespace {

using namespace std::chrono_literals;

struct peer_exchange_test : testing::Test {
    /// Daemons of each zone. Their regular beacons are further apart than the shortest interval between news.
    static constexpr int daemons_per_zone = 14;
    /// With this many zones, the beacons to daemons of unknown zones are rarer than the regular ones.
    static constexpr int zones = 10;
    static constexpr int port = 7431;

    /// Peer of the zone that ranks above the daemon, which is then no representative and sends no digests.
    struct higher_ranked_peer {
        higher_ranked_peer(net::loop& l, const std::string& vm, const net::address& at)
            : state{.vm = base::vm_id{vm},
                    .zone = base::zone_id{"z0"},
                    .incarnation = 1,
                    .peer_address = at,
                    .processor_share = 8},
              socket{l, at, [](std::string_view /*bytes*/) {}} {}

        void send_beacon(const net::address& to) {
            ++state.sequence;
            state.wall_time = base::wall_clock_now();
            socket.send(to, sharing::encode(state));
        }

        sharing::beacon state;
        net::datagram_socket socket;
    };

    net::loop loop;
    standin::object_store store{loop, {"127.0.0.1", 0}};
    base::store_era era;
    platform::store_client client{loop, store.address(), era};
    settings::edge_settings settings;
    std::array<higher_ranked_peer, 2> peers{
        higher_ranked_peer{loop, "z0-1", {"127.77.9.2", port}},
        higher_ranked_peer{loop, "z0-2", {"127.77.9.3", port}},
    };
    std::uint64_t last_sequence = 0;
    int beacons = 0;
    int beacons_with_counts = 0;

    void SetUp() override {
        settings.vm = base::vm_id{"z0-0"};
        settings.zone = base::zone_id{"z0"};
        settings.peers = {"127.77.9.1", port};
        for (int i = 1; i < zones * daemons_per_zone; ++i) {
            const auto zone = "z" + std::to_string(i / daemons_per_zone);
            const auto vm = zone + "-" + std::to_string(i % daemons_per_zone);
            const sharing::registered_daemon d{.vm = base::vm_id{vm},
                                               .peer_address = {"127.77.9." + std::to_string(i + 1), port},
                                               .zone = base::zone_id{zone},
                                               .processor_share = 1};
            store.put(platform::daemon_kind, vm, platform::encode_daemon(d));
        }
    }

    peer_exchange_hooks hooks() {
        return {.compose =
                    [this](const sharing::beacon& b, bool with_counts) {
                        last_sequence = b.sequence;
                        ++beacons;
                        beacons_with_counts += with_counts ? 1 : 0;
                        for (auto& p : peers) {
                            p.send_beacon(settings.peers);
                        }
                    },
                .signals = [](backpressure::audience) { return backpressure::signal_report{}; },
                .has_unsent_signals = [](backpressure::audience) { return false; },
                .received = [](const sharing::beacon&) {},
                .store_unreachable = nullptr};
    }

    bool run_until(const std::function<bool()>& done, base::duration limit = 10s) {
        const auto end = base::boot_clock::now() + limit;
        while (!done() && base::boot_clock::now() < end) {
            loop.run_once(10ms);
        }
        return done();
    }
};

// Failure: exactly one other beacon lies between two regular ones, as when news keep coming. Guards against
// usage counts that no regular beacon carries for as long as that lasts.
TEST_F(peer_exchange_test, regular_beacons_carry_counts_while_news_are_sent) {
    peer_exchange exchange{loop, settings, client, [] { return 0; }, hooks()};
    exchange.start();
    for (auto& p : peers) {
        p.send_beacon(settings.peers);
    }
    ASSERT_TRUE(run_until([&] { return exchange.zone_has_mirrors() && !exchange.is_representative(); }));

    // News only after an even sequence number give every regular beacon an even one, also if a beacon to
    // daemons of unknown zones lies between. A choice by all beacons sent before never includes counts then.
    const auto run_beacons = [&](int n) {
        const int end = beacons + n;
        return run_until([&] {
            if (last_sequence % 2 == 0) {
                exchange.send_soon(true);
            }
            return beacons >= end;
        });
    };
    ASSERT_TRUE(run_beacons(4));
    beacons_with_counts = 0;
    ASSERT_TRUE(run_beacons(16));  // about eight regular ones
    EXPECT_GT(beacons_with_counts, 0);
    EXPECT_FALSE(exchange.is_representative());
}

}  // namespace
}  // namespace chicorygap::daemon_app
