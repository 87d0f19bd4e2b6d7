#include "peer_exchange.h"

#include "base/log.h"
#include "platform/object_codec.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace chicorygap::daemon_app {

using namespace std::chrono_literals;

namespace {

/// Every n-th regular beacon carries usage counts; news between them do not count. A daemon that is killed
/// loses the requests that it has counted since.
constexpr std::uint64_t beacons_per_usage_counts = 2;
/// Daemons that start together would send all their beacons in the same millisecond, more than the receive
/// buffer of a peer holds. An interval therefore varies by up to the interval divided by this number either
/// way.
constexpr int beacon_jitter_divisor = 10;
constexpr int beacon_jitter_steps = 1024;
/// Interval of the requests for the list of registered daemons. A new daemon sends beacons to all listed ones
/// itself, so the list is needed only if these beacons were lost.
constexpr base::duration daemon_list_interval = 20s;
/// Delay before a failed registration or list request is retried.
constexpr base::duration retry_delay = 500ms;
constexpr base::duration fetch_timeout = 500ms;
/// Number of daemons of a zone that watch the store for the others. The second one covers for a mirror that
/// cannot reach the store; a small zone does without, because its few daemons may call the store for a while.
constexpr std::size_t mirrors_per_zone = 2;
constexpr std::size_t min_daemons_for_second_mirror = 10;
/// Size of a zone from which it uses mirrors in a large fleet. Elsewhere every daemon watches the store
/// itself.
constexpr std::size_t min_daemons_for_mirrors = 2;
/// Longest delay of the counts that a new lease holder gets; spreads those of a large fleet.
constexpr base::duration max_new_holder_delay = 500ms;
/// Addresses that a peer from another zone is told of its own zone.
constexpr std::size_t max_contacts = 64;
/// In a large fleet, daemons that are not representatives discover their peers from beacons, and list the
/// registered daemons at this multiple of the interval only against lost datagrams.
constexpr int list_interval_factor = 6;

/// Time for which news are collected before they are sent.
constexpr base::duration news_collection_time = 5ms;
constexpr base::duration min_news_interval = 150ms;

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
      forwarder_{s.link_mbits},
      client_{l} {}

peer_exchange::~peer_exchange() {
    loop_.cancel(beacon_timer_);
    loop_.cancel(list_timer_);
    loop_.cancel(counts_timer_);
    loop_.cancel(news_timer_);
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
    const auto interval = sharing::beacon_interval(in_zone.size() + 1);
    const auto jitter = interval * static_cast<int>(random_() % beacon_jitter_steps) / beacon_jitter_steps;
    // The first delay spreads over a whole interval.
    const auto delay = std::exchange(first_beacon_scheduled_, true)
                           ? interval - interval / beacon_jitter_divisor + 2 * jitter / beacon_jitter_divisor
                           : jitter;
    beacon_timer_ = loop_.after(delay, [this] {
        send_due_beacons();
        schedule_beacon();
    });
}

void peer_exchange::send_due_beacons() {
    const auto now = loop_.now();
    peers_.expire(now);
    traffic_.log_if_due(now);
    const auto fleet_size = peers_.fleet_size(settings_.zone, now);
    const bool fleet_beacon_due = now >= next_fleet_beacon_;
    if (fleet_beacon_due) {
        next_fleet_beacon_ = now + sharing::beacon_interval(fleet_size);
    }
    const bool digests = sharing::uses_zone_digests(fleet_size);
    const bool mesh_beacon_due = fleet_beacon_due && !digests;
    if (fleet_beacon_due && digests) {
        // Before the loads: with many servers these fill the queue of a thin link, which drops what follows.
        send_counts_to_lease_holder();
    }
    auto b = make_beacon(mesh_beacon_due || ++regular_beacons_ % beacons_per_usage_counts == 0);
    b.signals = hooks_.signals(backpressure::audience::peers);
    send(b, peers_.addresses_in_zone(settings_.zone), peer_message::loads);
    if (mesh_beacon_due) {
        send(b, peers_.addresses_outside_zone(settings_.zone), peer_message::loads);
    }
    if (!digests) {
        return;
    }
    if (fleet_beacon_due) {
        send(make_beacon_without_loads(), peers_.unlocated_addresses(), peer_message::other);
    }
    if (now >= next_digest_ && is_representative()) {
        const auto zone_size = peers_.addresses_in_zone(settings_.zone).size() + 1;
        next_digest_ = now + sharing::digest_interval(zone_size);
        send_digest(true);
    }
    check_for_new_lease_holder();
}

bool peer_exchange::is_representative() const {
    const auto place = place_in_zone();
    return place.index < place.count;
}

sharing::representative_place peer_exchange::place_in_zone() const {
    const auto now = loop_.now();
    const auto zone_size = peers_.live_peer_count_in_zone(settings_.zone, now) + 1;
    return {.index = peers_.higher_ranked_in_zone(make_identity_beacon(), now).size(),
            .count = std::min(sharing::representatives_per_zone, zone_size)};
}

void peer_exchange::send_digest(bool with_loads) {
    auto b = make_beacon(false);
    peers_.add_zone_summary(b, loop_.now());
    b.services.clear();
    if (!with_loads) {
        b.zone_services.clear();
    }
    b.signals = hooks_.signals(backpressure::audience::other_zones);
    send(b, peers_.representatives_outside_zone(settings_.zone, loop_.now()), peer_message::digest);
}

void peer_exchange::send_counts_to_lease_holder() {
    const auto holder = peers_.lease_holder(loop_.now());
    if (!holder || holder->zone == settings_.zone) {
        return;  // daemons of the zone send each other their counts regularly
    }
    auto b = make_beacon(true);
    b.services.clear();
    send(b, {holder->peer_address}, peer_message::other);
}

void peer_exchange::check_for_new_lease_holder() {
    const auto holder = peers_.lease_holder(loop_.now());
    if (!holder || std::exchange(last_holder_term_, holder->term) == holder->term ||
        counts_timer_ != net::timer_id::none) {
        return;
    }
    // The previous holder may have been lost with the counts of this daemon.
    const auto delay = max_new_holder_delay * static_cast<int>(random_() % 64) / 64;
    counts_timer_ = loop_.after(delay, [this] {
        counts_timer_ = net::timer_id::none;
        send_counts_to_lease_holder();
    });
}

void peer_exchange::send_now() {
    const auto b = make_beacon(true);
    send(b, peers_.addresses(), peer_message::news);
}

void peer_exchange::send_soon(bool own) {
    own_news_ = own_news_ || own;
    if (news_timer_ != net::timer_id::none) {
        return;
    }
    const auto now = loop_.now();
    news_timer_ =
        loop_.after(std::max<base::duration>(news_collection_time, earliest_next_news_ - now), [this] {
            news_timer_ = net::timer_id::none;
            earliest_next_news_ = loop_.now() + min_news_interval;
            send_news();
        });
}

// News have no loads, which the regular beacons repeat often enough.
void peer_exchange::send_news() {
    const bool digests = sharing::uses_zone_digests(peers_.fleet_size(settings_.zone, loop_.now()));
    bool more_own_news = false;
    if (std::exchange(own_news_, false)) {
        auto b = make_beacon_without_loads();
        b.signals = hooks_.signals(backpressure::audience::peers);
        send(b, digests ? peers_.addresses_in_zone(settings_.zone) : peers_.addresses(), peer_message::news);
        more_own_news = hooks_.has_unsent_signals(backpressure::audience::peers);
    }
    bool more_fleet_news = false;
    if (digests && is_representative()) {
        send_digest(false);
        more_fleet_news = hooks_.has_unsent_signals(backpressure::audience::other_zones);
    }
    if (more_own_news || more_fleet_news) {
        send_soon(more_own_news);
    }
}

sharing::beacon peer_exchange::make_identity_beacon() const {
    return {.vm = settings_.vm,
            .zone = settings_.zone,
            .incarnation = incarnation_,
            .peer_address = settings_.peers,
            .operator_address = settings_.operators,
            .processor_share = static_cast<float>(settings_.processor_share),
            .link_mbits = static_cast<float>(settings_.link_mbits)};
}

sharing::beacon peer_exchange::make_beacon_without_loads() {
    auto b = make_beacon(false);
    b.services.clear();
    return b;
}

bool peer_exchange::zone_has_mirrors() const {
    const auto now = loop_.now();
    return sharing::uses_zone_digests(peers_.fleet_size(settings_.zone, now)) &&
           peers_.live_peer_count_in_zone(settings_.zone, now) + 1 >= min_daemons_for_mirrors;
}

std::optional<net::address> peer_exchange::mirror(int failures) const {
    if (!zone_has_mirrors()) {
        return std::nullopt;
    }
    auto self = make_identity_beacon();
    self.store_unreachable = hooks_.store_unreachable && hooks_.store_unreachable();
    const auto zone_size = peers_.live_peer_count_in_zone(settings_.zone, loop_.now()) + 1;
    const auto mirrors = peers_.store_mirrors(
        self, zone_size < min_daemons_for_second_mirror ? 1 : mirrors_per_zone, loop_.now());
    const bool is_mirror =
        std::any_of(mirrors.begin(), mirrors.end(), [&](const auto& m) { return m.vm == settings_.vm; });
    if (is_mirror || mirrors.empty()) {
        return std::nullopt;
    }
    // The start time distributes the other daemons of the zone among the mirrors; after a failure the next
    // one is tried.
    return mirrors[(incarnation_ + static_cast<std::uint64_t>(failures)) % mirrors.size()].operator_address;
}

sharing::beacon peer_exchange::make_beacon(bool with_counts) {
    auto b = make_identity_beacon();
    b.sequence = ++sequence_;
    b.wall_time = base::wall_clock_now();
    hooks_.compose(b, with_counts);
    return b;
}

void peer_exchange::send(const sharing::beacon& b, const std::vector<net::address>& to,
                         peer_message purpose) {
    send_bytes(sharing::encode(b), to, purpose);
}

void peer_exchange::send_bytes(std::string_view bytes, const std::vector<net::address>& to,
                               peer_message purpose) {
    traffic_.add(purpose, bytes.size() * to.size());
    for (const auto& address : to) {
        socket_.send(address, bytes);
    }
}

void peer_exchange::on_datagram(std::string_view bytes) {
    const auto b = sharing::decode(bytes);
    if (!b) {
        return;
    }
    const bool known = peers_.knows(b->vm, b->incarnation);
    if (!peers_.observe(*b, base::wall_clock_now(), loop_.now())) {
        return;
    }
    for (const auto& contact : b->contacts) {
        if (contact != settings_.peers) {
            peers_.add_address(contact, settings_.zone);
        }
    }
    if (b->zone != settings_.zone &&
        sharing::uses_zone_digests(peers_.fleet_size(settings_.zone, loop_.now()))) {
        if (!known) {
            send_contacts(*b);
        }
        if (b->zone_daemons > 0 && is_representative()) {
            forward_digest(*b, bytes);
        }
    }
    hooks_.received(*b);
}

void peer_exchange::forward_digest(const sharing::beacon& digest, std::string_view bytes) {
    auto short_form = digest;
    short_form.zone_services.clear();
    const auto short_bytes = sharing::encode(short_form);
    const auto plan = forwarder_.plan(digest, bytes.size(), short_bytes.size(),
                                      peers_.addresses_in_zone(settings_.zone), place_in_zone(), loop_.now());
    send_bytes(bytes, plan.whole, peer_message::forwarded);
    send_bytes(short_bytes, plan.without_loads, peer_message::forwarded);
}

// A daemon that restarts while the store is unreachable knows only the seeds, which may all be in other
// zones.
void peer_exchange::send_contacts(const sharing::beacon& to) {
    auto b = make_beacon_without_loads();
    b.contacts = peers_.addresses_in_zone(to.zone);
    std::erase(b.contacts, to.peer_address);
    b.contacts.resize(std::min(b.contacts.size(), max_contacts));
    send(b, {to.peer_address}, peer_message::other);
}

sharing::registered_daemon peer_exchange::registration() const {
    return {.vm = settings_.vm,
            .peer_address = settings_.peers,
            .zone = settings_.zone,
            .processor_share = static_cast<float>(settings_.processor_share),
            .link_mbits = static_cast<float>(settings_.link_mbits)};
}

void peer_exchange::register_self() {
    store_.create(platform::daemon_kind, settings_.vm.str(), platform::encode_daemon(registration()),
                  [this](const platform::store_result<platform::stored_item>& r) {
                      if (r.status != platform::store_status::conflict || !r.value) {
                          registration_done(r.status);
                          return;
                      }
                      // An earlier run of this daemon has created the object.
                      store_.replace(platform::daemon_kind, settings_.vm.str(),
                                     platform::encode_daemon(registration()), r.value->revision,
                                     [this](const auto& second) { registration_done(second.status); });
                  });
}

void peer_exchange::store_restored() {
    loop_.cancel(list_timer_);
    register_self();
}

void peer_exchange::registration_done(platform::store_status s) {
    if (s == platform::store_status::ok) {
        registered_ = true;
        list_daemons({});
        return;
    }
    loop_.cancel(list_timer_);
    list_timer_ = loop_.after(retry_delay, [this] { register_self(); });
}

void peer_exchange::list_daemons(const std::string& after) {
    if (after.empty()) {
        listed_daemons_.clear();
    }
    store_.list(platform::daemon_kind, after, [this](const platform::store_result<platform::listing>& r) {
        const bool ok = r.status == platform::store_status::ok;
        for (const auto& item : ok ? r.value->items : std::vector<platform::stored_item>{}) {
            if (auto d = platform::decode_daemon(item.name, item.spec)) {
                listed_daemons_.push_back(*std::move(d));
            }
        }
        if (ok && r.value->has_more && !r.value->items.empty()) {
            list_daemons(r.value->items.back().name);
            return;
        }
        if (ok) {
            peers_.add_registered(std::exchange(listed_daemons_, {}), settings_.zone);
        }
        loop_.cancel(list_timer_);
        list_timer_ = loop_.after(ok ? next_list_delay() : retry_delay, [this] { list_daemons({}); });
    });
}

base::duration peer_exchange::next_list_delay() {
    const bool large = sharing::uses_zone_digests(peers_.fleet_size(settings_.zone, loop_.now()));
    const auto interval = daemon_list_interval * (large && !is_representative() ? list_interval_factor : 1);
    return interval + interval / 8 * static_cast<int>(random_() % 8) / 8;
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
