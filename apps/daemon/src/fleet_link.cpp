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
/// How often the registered daemons are listed. A new daemon sends to all listed ones itself, so that the
/// list only repairs what was lost.
constexpr base::duration list_interval = 20s;
/// Time before a failed registration or list is repeated.
constexpr base::duration retry_interval = 500ms;
constexpr base::duration fetch_time = 500ms;

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
    const auto in_zone = peers_.addresses_in(settings_.zone);
    beacon_timer_ = loop_.after(sharing::beacon_interval(in_zone.size() + 1), [this] {
        const auto now = loop_.now();
        const bool to_all = now >= next_to_all_;
        if (to_all) {
            next_to_all_ = now + sharing::beacon_interval(peers_.known_count());
        }
        send(to_all, to_all || sequence_ % counts_every == 0);
        schedule_beacon();
    });
}

void fleet_link::send_now() {
    send(true, true);
}

void fleet_link::send(bool to_all, bool with_counts) {
    peers_.expire(loop_.now());
    sharing::beacon b{.vm = settings_.vm,
                      .zone = settings_.zone,
                      .incarnation = incarnation_,
                      .sequence = ++sequence_,
                      .peer_address = settings_.peers,
                      .operator_address = settings_.operators,
                      .wall_time = base::wall_clock_now()};
    hooks_.compose(b, with_counts);
    const auto bytes = sharing::encode(b);
    for (const auto& to : to_all ? peers_.addresses() : peers_.addresses_in(settings_.zone)) {
        socket_.send(to, bytes);
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
