/// @file
/// Messages between the daemons of the fleet.
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "http/async_client.h"
#include "net/datagram_socket.h"
#include "net/loop.h"
#include "platform/store_client.h"
#include "settings/edge_settings.h"
#include "sharing/beacon.h"
#include "sharing/peer_table.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::daemon_app {

struct peer_exchange_hooks {
    /// Completes a beacon before it is sent. The flag says whether counts go with it.
    std::function<void(sharing::beacon&, bool with_counts)> compose;
    /// A beacon of a peer arrived.
    std::function<void(const sharing::beacon&)> received;
};

/// Tells peers what they need to know and hears them; finds them through the platform's store.
///
/// Daemons of one zone tell each other their loads. In a large fleet the one with the most of a core tells
/// the sum to the other zones, and the daemons themselves tell other zones only the rest, at a lower rate.
class peer_exchange {
public:
    peer_exchange(net::loop& l, const settings::edge_settings& s, platform::store_client& store,
                  base::random_function random, peer_exchange_hooks hooks);
    ~peer_exchange();
    peer_exchange(const peer_exchange&) = delete;
    peer_exchange& operator=(const peer_exchange&) = delete;

    /// Registers this daemon and begins to send.
    void start();

    /// Sends a beacon at once, for news that should not wait.
    void send_now();

    [[nodiscard]] sharing::peer_table& peers() noexcept { return peers_; }
    /// Daemons of the zone that may watch the store for this one.
    /// @return nothing if this one watches it for itself, or for others.
    [[nodiscard]] std::optional<net::address> mirror() const;

    /// @return true if daemons of the zone watch each other instead of the store.
    [[nodiscard]] bool zone_has_mirrors() const;

    [[nodiscard]] std::uint64_t incarnation() const noexcept { return incarnation_; }

    /// Fetches a path from a peer's operator address.
    void fetch(const net::address& from, const std::string& path,
               std::function<void(const std::string&)> done);

private:
    [[nodiscard]] sharing::beacon make_identity() const;
    [[nodiscard]] sharing::beacon make_beacon(bool with_counts);
    void send(const sharing::beacon& b, const std::vector<net::address>& to);
    void send_due_beacons();
    void send_to_other_zones(sharing::beacon b, bool fleet_beacon_due);
    void schedule_beacon();
    void on_datagram(std::string_view bytes);
    void register_self();
    void list_daemons(const std::string& after);
    void registration_done(platform::store_status s);

    net::loop& loop_;
    const settings::edge_settings& settings_;
    platform::store_client& store_;
    base::random_function random_;
    peer_exchange_hooks hooks_;
    std::uint64_t incarnation_;
    std::uint64_t sequence_ = 0;
    std::uint64_t fleet_beacon_count_ = 0;
    sharing::peer_table peers_;
    net::datagram_socket socket_;
    http::async_client client_;
    net::timer_id beacon_timer_ = net::timer_id::none;
    net::timer_id list_timer_ = net::timer_id::none;
    base::time_point next_fleet_beacon_;
    base::time_point next_zone_beacon_;
    bool registered_ = false;
};

}  // namespace chicorygap::daemon_app
