/// @file
/// Exchange of beacons between the daemons of the fleet.
#pragma once

#include "backpressure/signal_report.h"
#include "base/random.h"
#include "base/time.h"
#include "http/async_client.h"
#include "net/datagram_socket.h"
#include "net/loop.h"
#include "peer_traffic.h"
#include "platform/store_client.h"
#include "settings/edge_settings.h"
#include "sharing/beacon.h"
#include "sharing/digest_forwarder.h"
#include "sharing/peer_table.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::daemon_app {

struct peer_exchange_hooks {
    /// Adds the state of this daemon, without the signals of servers, to a beacon that is about to be sent,
    /// with usage counts if the flag is set.
    std::function<void(sharing::beacon&, bool with_counts)> compose;
    /// @return what the servers say of themselves, for the receivers of a beacon.
    std::function<backpressure::signal_report(backpressure::audience)> signals;
    /// @return true if changes of these signals were not sent to the receivers.
    std::function<bool(backpressure::audience)> has_unsent_signals;
    /// Called for each new beacon of a peer.
    std::function<void(const sharing::beacon&)> received;
    /// @return true if recent calls to the store failed, so that this daemon cannot mirror it for others.
    std::function<bool()> store_unreachable;
};

/// Exchanges beacons with the other daemons of the fleet and discovers them through the platform's store.
///
/// Concept: daemons of one zone send each other their loads. In a large fleet, the representatives of each
/// zone, which are the daemons with the largest CPU shares, exchange digests of their zones and forward those
/// of other zones within their own. Other daemons send beacons to another zone only with usage counts for the
/// lease holder, and to addresses of unknown daemons.
///
/// Usage: `peer_exchange x{loop, settings, store, random, hooks}; x.start();`
class peer_exchange {
public:
    peer_exchange(net::loop& l, const settings::edge_settings& s, platform::store_client& store,
                  base::random_function random, peer_exchange_hooks hooks);
    ~peer_exchange();
    peer_exchange(const peer_exchange&) = delete;
    peer_exchange& operator=(const peer_exchange&) = delete;

    /// Registers this daemon in the store and starts sending beacons.
    void start();

    /// Registers this daemon again, because the store has returned from a copy that may lack its
    /// registration.
    void store_restored();

    /// Sends a beacon to all known addresses at once, for urgent changes such as the shutdown.
    void send_now();

    /// Sends news before the next regular beacon. Of news that a peer has told, only a representative of a
    /// large fleet tells the other zones, so that they are not repeated by each daemon.
    /// @param own false if a peer has told the news.
    void send_soon(bool own);

    [[nodiscard]] sharing::peer_table& peers() noexcept { return peers_; }
    [[nodiscard]] const sharing::peer_table& peers() const noexcept { return peers_; }

    [[nodiscard]] const peer_traffic& traffic() const noexcept { return traffic_; }

    /// @param failures number of consecutive failures of mirrors; another one is used after each.
    /// @return operator address of the daemon that mirrors the store for this one; nothing if this daemon
    /// watches the store itself.
    [[nodiscard]] std::optional<net::address> mirror(int failures) const;

    /// @return the place of this daemon among the representatives of its zone, as if it were one.
    [[nodiscard]] sharing::representative_place place_in_zone() const;

    /// @return true if this daemon is one of the few of its zone that compete for the lease and exchange
    /// digests.
    [[nodiscard]] bool is_representative() const;

    /// @return true if the zone is large enough that most of its daemons watch a mirror instead of the store.
    [[nodiscard]] bool zone_has_mirrors() const;

    /// @return start time of this process, which identifies one run of the daemon.
    [[nodiscard]] std::uint64_t incarnation() const noexcept { return incarnation_; }

    /// Sends a GET request to the operator address of a peer.
    /// @param done called with the body of a response with status 200, otherwise not called.
    void fetch(const net::address& from, const std::string& path,
               std::function<void(const std::string&)> done);

private:
    /// @return a beacon with only the identity, addresses and CPU share of this daemon.
    [[nodiscard]] sharing::beacon make_identity_beacon() const;
    [[nodiscard]] sharing::beacon make_beacon(bool with_counts);
    /// @return a beacon without loads and counts.
    [[nodiscard]] sharing::beacon make_beacon_without_loads();
    [[nodiscard]] sharing::registered_daemon registration() const;
    [[nodiscard]] base::duration next_list_delay();
    void send(const sharing::beacon& b, const std::vector<net::address>& to, peer_message purpose);
    void send_due_beacons();
    /// Sends the digest of this zone to the representatives of the other zones.
    /// @param with_loads false to send news only, which representatives with thin links pass on to their
    /// zones.
    void send_digest(bool with_loads);
    /// Sends what has changed to the peers, and as a representative to the other zones.
    void send_news();
    /// Sends the usage counts to a lease holder in another zone.
    void send_counts_to_lease_holder();
    /// Sends the usage counts early to a new lease holder.
    void check_for_new_lease_holder();
    /// Tells a newly found daemon of another zone the daemons of its zone.
    void send_contacts(const sharing::beacon& to);
    void schedule_beacon();
    void on_datagram(std::string_view bytes);
    /// Passes a digest of another zone on within this zone.
    /// @param bytes the digest as it was received.
    void forward_digest(const sharing::beacon& digest, std::string_view bytes);
    void send_bytes(std::string_view bytes, const std::vector<net::address>& to, peer_message purpose);
    void register_self();
    void list_daemons(const std::string& after);
    void registration_done(platform::store_status s);

    net::loop& loop_;
    const settings::edge_settings& settings_;
    platform::store_client& store_;
    base::random_function random_;
    peer_exchange_hooks hooks_;
    std::uint64_t incarnation_;
    std::uint64_t sequence_ = 0;  ///< of all beacons, news and digests among them
    bool first_beacon_scheduled_ = false;
    std::uint64_t regular_beacons_ = 0;  ///< sent to the zone at the regular interval
    sharing::peer_table peers_;
    net::datagram_socket socket_;
    peer_traffic traffic_;
    sharing::digest_forwarder forwarder_;
    http::async_client client_;
    net::timer_id beacon_timer_ = net::timer_id::none;
    net::timer_id list_timer_ = net::timer_id::none;
    base::time_point next_fleet_beacon_;  ///< next beacon of this daemon to other zones
    base::time_point next_digest_;        ///< earliest next zone digest
    net::timer_id counts_timer_ = net::timer_id::none;
    net::timer_id news_timer_ = net::timer_id::none;
    bool own_news_ = false;                ///< since the last beacon with news
    base::time_point earliest_next_news_;  ///< bounds the number of beacons with news
    std::uint64_t last_holder_term_ = 0;
    std::vector<sharing::registered_daemon> listed_daemons_;  ///< pages received so far of the running list
    bool registered_ = false;
};

}  // namespace chicorygap::daemon_app
