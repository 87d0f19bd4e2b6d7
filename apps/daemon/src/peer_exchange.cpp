#include "peer_exchange.h"

#include "base/log.h"
#include "platform/object_codec.h"

#include <utility>
#include <variant>

namespace chicorygap::daemon_app {

using namespace std::chrono_literals;

namespace {

/// Every n-th beacon carries usage counts. A daemon that is killed loses the requests that it has counted
/// since.
constexpr std::uint64_t beacons_per_usage_counts = 2;
/// Every n-th regular beacon to other zones carries usage counts, which are the largest part of a beacon. The
/// lease holder receives the counts with each of them.
constexpr std::uint64_t fleet_beacons_per_usage_counts = 4;
/// Interval of the requests for the list of registered daemons. A new daemon sends beacons to all listed ones
/// itself, so the list is needed only if these beacons were lost.
constexpr base::duration daemon_list_interval = 20s;
/// Delay before a failed registration or list request is retried.
constexpr base::duration retry_delay = 500ms;
constexpr base::duration fetch_timeout = 500ms;
/// Number of daemons of a zone that watch the store for the others. The second one covers for a mirror that
/// cannot reach the store.
constexpr std::size_t mirrors_per_zone = 2;
/// Size of a zone from which it uses mirrors. In a smaller zone every daemon watches the store itself.
constexpr std::size_t min_daemons_for_mirrors = 5;
/// The interval between two beacons with zone loads is this time multiplied by the number of receivers, which
/// bounds the CPU time of the zone representative. The representative is the VM with the largest CPU share.
constexpr base::duration zone_beacon_interval_per_receiver = 6ms;

std::uint64_t new_incarnation() {
    return static_cast<std::uint64_t>(base::wall_clock_now().time_since_epoch().count());
}

}  // namespace

peer_exchange::peer_exchange(net::loop& l, const settings::edge_settings& s, platform::store_client& store,
                             base::random_function random, peer_exchange_hooks hooks)
    : loop_{l},
      settings_{s},
      store_{store},
      random_{std::move(random)},
      hooks_{std::move(hooks)},
      incarnation_{new_incarnation()},
      peers_{s.vm},
      socket_{l, s.peers, [this](std::string_view bytes) { on_datagram(bytes); }},
      client_{l} {}

peer_exchange::~peer_exchange() {
    loop_.cancel(beacon_timer_);
    loop_.cancel(list_timer_);
}

void peer_exchange::start() {
    // Seeds are operator addresses; all daemons use the same port for beacons.
    for (const auto& seed : settings_.seeds) {
        if (seed.host != settings_.peers.host) {
            peers_.add_address({seed.host, settings_.peers.port});
        }
    }
    schedule_beacon();
    register_self();
}

// Daemons of a zone share its servers. The beacon interval within a zone depends only on the size of the
// zone.
void peer_exchange::schedule_beacon() {
    const auto in_zone = peers_.addresses_in_zone(settings_.zone);
    beacon_timer_ = loop_.after(sharing::beacon_interval(in_zone.size() + 1), [this] {
        send_due_beacons();
        schedule_beacon();
    });
}

void peer_exchange::send_due_beacons() {
    peers_.expire(loop_.now());
    const auto now = loop_.now();
    const auto daemons = peers_.known_count();
    const bool fleet_beacon_due = now >= next_fleet_beacon_;
    if (fleet_beacon_due) {
        next_fleet_beacon_ = now + sharing::beacon_interval(daemons);
    }
    auto b = make_beacon(fleet_beacon_due || sequence_ % beacons_per_usage_counts == 0);
    send(b, peers_.addresses_in_zone(settings_.zone));
    if (!sharing::aggregates_loads_by_zone(daemons)) {
        if (fleet_beacon_due) {
            send(b, peers_.addresses_outside_zone(settings_.zone));
        }
        return;
    }
    send_to_other_zones(std::move(b), fleet_beacon_due);
}

void peer_exchange::send_to_other_zones(sharing::beacon b, bool fleet_beacon_due) {
    const auto now = loop_.now();
    const auto to = peers_.addresses_outside_zone(settings_.zone);
    const bool zone_beacon_due = now >= next_zone_beacon_ && peers_.higher_ranked_in_zone(b, now).empty();
    if (!zone_beacon_due && !fleet_beacon_due) {
        return;
    }
    if (zone_beacon_due) {
        next_zone_beacon_ = now + zone_beacon_interval_per_receiver * static_cast<int>(to.size());
        b.zone_services = peers_.zone_loads(b, now);
    }
    b.services.clear();
    b.sequence = ++sequence_;
    // The lease holder needs the counts at once; other daemons need them only after they acquire the lease.
    const auto* holder = peers_.lease_holder(now);
    const bool counts_for_all =
        fleet_beacon_due &&
        (holder == nullptr || ++fleet_beacon_count_ % fleet_beacons_per_usage_counts == 0);
    if (counts_for_all) {
        send(b, to);
        return;
    }
    const auto counts = std::exchange(b.windows, {});
    send(b, to);
    if (fleet_beacon_due && holder->zone != settings_.zone) {
        b.windows = counts;
        b.sequence = ++sequence_;
        send(b, {holder->peer_address});
    }
}

void peer_exchange::send_now() {
    const auto b = make_beacon(true);
    send(b, peers_.addresses());
}

sharing::beacon peer_exchange::make_identity_beacon() const {
    return {.vm = settings_.vm,
            .zone = settings_.zone,
            .incarnation = incarnation_,
            .peer_address = settings_.peers,
            .operator_address = settings_.operators,
            .processor_share = static_cast<float>(settings_.processor_share)};
}

bool peer_exchange::zone_has_mirrors() const {
    return peers_.live_peer_count_in_zone(settings_.zone, loop_.now()) + 1 >= min_daemons_for_mirrors;
}

std::optional<net::address> peer_exchange::mirror() const {
    const auto higher_ranked = peers_.higher_ranked_in_zone(make_identity_beacon(), loop_.now());
    if (!zone_has_mirrors() || higher_ranked.size() < mirrors_per_zone) {
        return std::nullopt;
    }
    // Distributes the other daemons of the zone evenly among the mirrors.
    return higher_ranked[higher_ranked.size() % mirrors_per_zone]->operator_address;
}

sharing::beacon peer_exchange::make_beacon(bool with_counts) {
    auto b = make_identity_beacon();
    b.sequence = ++sequence_;
    b.wall_time = base::wall_clock_now();
    hooks_.compose(b, with_counts);
    return b;
}

void peer_exchange::send(const sharing::beacon& b, const std::vector<net::address>& to) {
    const auto bytes = sharing::encode(b);
    for (const auto& address : to) {
        socket_.send(address, bytes);
    }
}

void peer_exchange::on_datagram(std::string_view bytes) {
    const auto b = sharing::decode(bytes);
    if (b && peers_.observe(*b, base::wall_clock_now(), loop_.now())) {
        hooks_.received(*b);
    }
}

void peer_exchange::register_self() {
    store_.create(platform::daemon_kind, settings_.vm.str(), platform::encode_daemon(settings_.peers),
                  [this](const platform::store_result<platform::stored_item>& r) {
                      if (r.status != platform::store_status::conflict || !r.value) {
                          registration_done(r.status);
                          return;
                      }
                      // An earlier run of this daemon has created the object.
                      store_.replace(platform::daemon_kind, settings_.vm.str(),
                                     platform::encode_daemon(settings_.peers), r.value->revision,
                                     [this](const auto& second) { registration_done(second.status); });
                  });
}

void peer_exchange::registration_done(platform::store_status s) {
    if (s == platform::store_status::ok) {
        registered_ = true;
        list_daemons({});
        return;
    }
    list_timer_ = loop_.after(retry_delay, [this] { register_self(); });
}

void peer_exchange::list_daemons(const std::string& after) {
    store_.list(platform::daemon_kind, after, [this](const platform::store_result<platform::listing>& r) {
        const bool ok = r.status == platform::store_status::ok;
        for (const auto& item : ok ? r.value->items : std::vector<platform::stored_item>{}) {
            const auto a = platform::decode_daemon(item.spec);
            if (a && *a != settings_.peers) {
                peers_.add_address(*a);
            }
        }
        if (ok && r.value->has_more && !r.value->items.empty()) {
            list_daemons(r.value->items.back().name);
            return;
        }
        const auto jitter = daemon_list_interval / 8 * static_cast<int>(random_() % 8) / 8;
        list_timer_ =
            loop_.after(ok ? daemon_list_interval + jitter : retry_delay, [this] { list_daemons({}); });
    });
}

void peer_exchange::fetch(const net::address& from, const std::string& path,
                          std::function<void(const std::string&)> done) {
    http::call c{.to = from, .head = {.method = "GET", .target = path}, .body = {}, .timeout = fetch_timeout};
    client_.send(std::move(c), [done = std::move(done)](const http::call_result& r) {
        const auto* response = std::get_if<http::response>(&r);
        if (response != nullptr && response->head.status == 200) {
            done(response->body);
        }
    });
}

}  // namespace chicorygap::daemon_app
