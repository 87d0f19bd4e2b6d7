#include "fleet_link.h"

#include "base/log.h"
#include "platform/documents.h"

#include <utility>
#include <variant>

namespace chicorygap::daemon_app {

using namespace std::chrono_literals;

namespace {

/// Counts go with every so many beacons: what a daemon counted since then is lost when it is killed.
constexpr std::uint64_t counts_every = 2;
/// The same for daemons of other zones that do not hold the lease: counts are the largest part of a message.
constexpr std::uint64_t counts_elsewhere_every = 4;
/// How often the registered daemons are listed. A new daemon sends to all listed ones itself, so that the
/// list only repairs what was lost.
constexpr base::duration list_interval = 20s;
/// Time before a failed registration or list is repeated.
constexpr base::duration retry_interval = 500ms;
constexpr base::duration fetch_time = 500ms;
/// Daemons of a zone that watch the store for the others; one of them may be cut off from it.
constexpr std::size_t mirrors_per_zone = 2;
/// In a smaller zone every daemon watches the store itself.
constexpr std::size_t least_mirrored = 5;
/// Time that the message of a zone's speaker to one daemon of another zone may take up: the speaker is the VM
/// with the most of a core.
constexpr base::duration time_per_speech = 6ms;

std::uint64_t start_number() {
    return static_cast<std::uint64_t>(base::wall_clock_now().time_since_epoch().count());
}

}  // namespace

fleet_link::fleet_link(net::loop& l, const settings::edge_settings& s, platform::store_client& store,
                       base::random_function random, fleet_link_hooks hooks)
    : loop_{l},
      settings_{s},
      store_{store},
      random_{std::move(random)},
      hooks_{std::move(hooks)},
      incarnation_{start_number()},
      peers_{s.vm},
      socket_{l, s.peers, [this](std::string_view bytes) { on_datagram(bytes); }},
      client_{l} {}

fleet_link::~fleet_link() {
    loop_.cancel(beacon_timer_);
    loop_.cancel(list_timer_);
}

void fleet_link::start() {
    // Seeds name other daemons' operator addresses; the port for peers is the same on all of them.
    for (const auto& seed : settings_.seeds) {
        if (seed.host != settings_.peers.host) {
            peers_.add_address({seed.host, settings_.peers.port});
        }
    }
    schedule_beacon();
    register_self();
}

// Daemons of one zone share its servers and hear each other at the rate of a fleet of their number.
void fleet_link::schedule_beacon() {
    const auto in_zone = peers_.addresses_in_zone(settings_.zone);
    beacon_timer_ = loop_.after(sharing::beacon_interval(in_zone.size() + 1), [this] {
        send_due();
        schedule_beacon();
    });
}

void fleet_link::send_due() {
    peers_.expire(loop_.now());
    const auto now = loop_.now();
    const auto daemons = peers_.known_count();
    const bool general = now >= next_elsewhere_;
    if (general) {
        next_elsewhere_ = now + sharing::beacon_interval(daemons);
    }
    auto b = make_beacon(general || sequence_ % counts_every == 0);
    send(b, peers_.addresses_in_zone(settings_.zone));
    if (!sharing::aggregates_loads_by_zone(daemons)) {
        if (general) {
            send(b, peers_.addresses_outside_zone(settings_.zone));
        }
        return;
    }
    tell_elsewhere(std::move(b), general);
}

void fleet_link::tell_elsewhere(sharing::beacon b, bool general) {
    const auto now = loop_.now();
    const auto to = peers_.addresses_outside_zone(settings_.zone);
    const bool speaks = now >= next_speech_ && peers_.higher_ranked_in_zone(b, now).empty();
    if (!speaks && !general) {
        return;
    }
    if (speaks) {
        next_speech_ = now + time_per_speech * static_cast<int>(to.size());
        b.zone_services = peers_.zone_loads(b, now);
    }
    b.services.clear();
    b.sequence = ++sequence_;
    // Whoever holds the lease needs the counts at once; the others only when they take it over.
    const auto* holder = peers_.lease_holder(now);
    const bool counts_for_all =
        general && (holder == nullptr || ++general_messages_ % counts_elsewhere_every == 0);
    if (counts_for_all) {
        send(b, to);
        return;
    }
    const auto counts = std::exchange(b.windows, {});
    send(b, to);
    if (general && holder->zone != settings_.zone) {
        b.windows = counts;
        b.sequence = ++sequence_;
        send(b, {holder->peer_address});
    }
}

void fleet_link::send_now() {
    const auto b = make_beacon(true);
    send(b, peers_.addresses());
}

sharing::beacon fleet_link::make_identity() const {
    return {.vm = settings_.vm,
            .zone = settings_.zone,
            .incarnation = incarnation_,
            .peer_address = settings_.peers,
            .operator_address = settings_.operators,
            .processor_share = static_cast<float>(settings_.processor_share)};
}

bool fleet_link::zone_has_mirrors() const {
    return peers_.live_peer_count_in_zone(settings_.zone, loop_.now()) + 1 >= least_mirrored;
}

std::optional<net::address> fleet_link::mirror() const {
    const auto ahead = peers_.higher_ranked_in_zone(make_identity(), loop_.now());
    if (!zone_has_mirrors() || ahead.size() < mirrors_per_zone) {
        return std::nullopt;
    }
    // The others are spread over the mirrors.
    return ahead[ahead.size() % mirrors_per_zone]->operator_address;
}

sharing::beacon fleet_link::make_beacon(bool with_counts) {
    auto b = make_identity();
    b.sequence = ++sequence_;
    b.wall_time = base::wall_clock_now();
    hooks_.compose(b, with_counts);
    return b;
}

void fleet_link::send(const sharing::beacon& b, const std::vector<net::address>& to) {
    const auto bytes = sharing::encode(b);
    for (const auto& address : to) {
        socket_.send(address, bytes);
    }
}

void fleet_link::on_datagram(std::string_view bytes) {
    const auto b = sharing::decode(bytes);
    if (b && peers_.observe(*b, base::wall_clock_now(), loop_.now())) {
        hooks_.received(*b);
    }
}

void fleet_link::register_self() {
    store_.create(platform::daemon_kind, settings_.vm.str(), platform::encode_daemon(settings_.peers),
                  [this](const platform::store_result<platform::stored_item>& r) {
                      if (r.status != platform::store_status::conflict || !r.value) {
                          registration_done(r.status);
                          return;
                      }
                      // An earlier start of this daemon has registered.
                      store_.replace(platform::daemon_kind, settings_.vm.str(),
                                     platform::encode_daemon(settings_.peers), r.value->revision,
                                     [this](const auto& second) { registration_done(second.status); });
                  });
}

void fleet_link::registration_done(platform::store_status s) {
    if (s == platform::store_status::ok) {
        registered_ = true;
        list_daemons({});
        return;
    }
    list_timer_ = loop_.after(retry_interval, [this] { register_self(); });
}

void fleet_link::list_daemons(const std::string& after) {
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
        const auto spread = list_interval / 8 * static_cast<int>(random_() % 8) / 8;
        list_timer_ = loop_.after(ok ? list_interval + spread : retry_interval, [this] { list_daemons({}); });
    });
}

void fleet_link::fetch(const net::address& from, const std::string& path,
                       std::function<void(const std::string&)> done) {
    http::call c{.to = from, .head = {.method = "GET", .target = path}, .body = {}, .timeout = fetch_time};
    client_.send(std::move(c), [done = std::move(done)](const http::call_result& r) {
        const auto* answer = std::get_if<http::response>(&r);
        if (answer != nullptr && answer->head.status == 200) {
            done(answer->body);
        }
    });
}

}  // namespace chicorygap::daemon_app
