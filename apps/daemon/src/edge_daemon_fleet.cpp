// What the daemon and its peers tell each other, and what follows from the size of the fleet.
#include "base/log.h"
#include "edge_daemon.h"
#include "platform/object_codec.h"

#include <algorithm>
#include <utility>

namespace chicorygap::daemon_app {

using namespace std::chrono_literals;

namespace {

/// Number of usage windows whose counts are sent to peers: the current one and those not reported yet.
constexpr std::uint64_t beacon_window_count = 3;
/// Number of usage windows before the current one whose counts are kept.
constexpr std::uint64_t retained_window_count = 12;
/// Part of the fleet's retry budget that is divided among the daemons. The rest is a reserve, because the
/// daemons do not spend their shares evenly over time.
constexpr double usable_retry_budget_ratio = 0.85;
/// Time for which this daemon must be behind a peer before it fetches the data from the peer. Usually its own
/// watch delivers the change earlier.
constexpr base::duration peer_fetch_delay = 250ms;

/// The same for a peer in another zone of a large fleet: the time in which the change reaches this zone.
constexpr base::duration other_zone_fetch_delay = 1500ms;
/// Delay between two failed calls to the store, multiplied by the number of daemons in the zone: together
/// these make at most 25 calls a second for each kind of object.
constexpr base::duration store_retry_delay_per_daemon = 40ms;
/// Time after the start in which peers are found.
constexpr base::duration fleet_discovery_time = 3s;

/// Changes of the server list are batched for a time that grows with the fleet, because the store calls of
/// each daemon are charged and a larger fleet has more servers. The maximum is well below the drain time.
constexpr base::duration server_batch_delay_per_daemon = 6ms;
constexpr base::duration max_server_batch_delay = 500ms;

}  // namespace

// One daemon of the fleet: the holder of the lease, or the first by name where there are no duties.
bool edge_daemon::may_try_quarantined_parts() const {
    if (duties_.held_term() != 0) {
        return true;
    }
    const auto now = loop_.now();
    if (settings_.cloud_api) {
        return false;
    }
    const auto peers = peer_exchange_.peers().live_peers(now);
    return std::all_of(peers.begin(), peers.end(), [&](const auto* p) { return settings_.vm < p->vm; });
}

void edge_daemon::compose_beacon(sharing::beacon& b, bool with_counts) {
    b.configuration_version = catalog_ ? catalog_->version : 0;
    b.store_era = server_cache_.position().era;
    b.servers_revision = server_cache_.last_changed().revision;
    b.servers_final_revision = directory_.removals_final(loop_.now()) ? server_cache_.position().revision : 0;
    b.evacuations = evacuations_.announced();
    b.stopping = stopping_;
    b.store_unreachable = store_unreachable();
    b.lease_term = duties_.held_term();
    b.crashes = router_.prompt_guard().report(loop_.now());
    if (const auto largest = fleet_share_.largest()) {
        b.largest_fleet = static_cast<std::uint32_t>(largest->live);
        b.largest_fleet_age = loop_.now() - largest->last_seen;
    }
    for (auto& [id, load] : router_.local_loads()) {
        b.services.emplace(id, std::move(load));
    }
    if (!with_counts) {
        return;
    }
    b.stored_windows = duties_.stored_windows();
    const auto wall = peer_exchange_.peers().median_wall_time(base::wall_clock_now(), loop_.now());
    const auto current = static_cast<std::uint64_t>(metering::window_at(wall, settings_.duties.usage_window));
    for (std::uint64_t i = 0; i < beacon_window_count; ++i) {
        const metering::window_number w{current - i};
        if (const auto& counts = meter_.local_counts(w); !counts.empty()) {
            b.windows.emplace(w, counts);
        }
    }
    meter_.discard_before(metering::window_number{current - retained_window_count});
}

void edge_daemon::on_beacon(const sharing::beacon& b) {
    const auto lifetime = sharing::peer_timeout(peer_exchange_.peers().known_count());
    if (!b.services.empty()) {
        router_.set_peer_load(b.vm, {b.services.begin(), b.services.end()}, lifetime, b.zone);
    }
    if (!b.zone_services.empty() && b.zone != settings_.zone) {
        // One entry per zone, so that reports of a new zone representative replace those of the previous one.
        router_.set_peer_load(base::vm_id{"zone " + b.zone.str()},
                              {b.zone_services.begin(), b.zone_services.end()}, lifetime, b.zone);
    }
    if (!b.crashes.empty()) {
        router_.prompt_guard().merge(b.crashes, loop_.now());
    }
    if (b.largest_fleet > 0) {
        fleet_share_.merge({b.largest_fleet, loop_.now() - b.largest_fleet_age});
    }
    router_.server_signals().merge(b.vm, b.zone, b.signals, b.stopping, loop_.now());
    for (const auto& [w, counts] : b.windows) {
        meter_.merge({b.vm, b.incarnation}, w, counts);
    }
    for (const auto& [w, counts] : b.stored_windows) {
        duties_.remember_stored_window(w, counts);
    }
    // The lists of both daemons are equal if the revisions at which they are valid overlap.
    const auto position = server_cache_.position();
    if (b.store_era == position.era && b.servers_final_revision >= server_cache_.last_changed().revision &&
        b.servers_revision <= position.revision && b.servers_final_revision != 0) {
        on_removals_final(b.vm.str().c_str());
    }
    const auto version = catalog_ ? catalog_->version : 0;
    if (b.configuration_version > version) {
        fetch_from_peer(configuration_cache_, configuration_fetch_pending_, b);
    }
    if (base::store_position{b.store_era, b.servers_revision} > position) {
        fetch_from_peer(server_cache_, servers_fetch_pending_, b);
    }
    if (evacuations_.enabled() && b.evacuations > evacuations_.cache().position()) {
        fetch_from_peer(evacuations_.cache(), evacuations_fetch_pending_, b);
    }
}

platform::watch_options edge_daemon::next_watch_options(base::duration deadline, int mirror_failures,
                                                        watch_waits waits) {
    const auto max_wait = platform::watch_wait_for(deadline);
    if (!peer_exchange_.zone_has_mirrors()) {
        return {.max_wait = max_wait};
    }
    const auto zone_size = peer_exchange_.peers().live_peer_count_in_zone(settings_.zone, loop_.now()) + 1;
    platform::watch_options options{
        .mirror = nullptr,
        .max_wait = std::min(waits.store, max_wait),
        .min_retry_delay = store_retry_delay_per_daemon * static_cast<int>(zone_size)};
    if (const auto address = peer_exchange_.mirror(mirror_failures)) {
        mirror_client_.set_address(*address);
        options.mirror = &mirror_client_;
        options.max_wait = std::min(waits.mirror, max_wait);
    }
    return options;
}

bool edge_daemon::store_unreachable() const {
    return configuration_cache_.store_failing() || server_cache_.store_failing();
}

bool edge_daemon::may_compete_for_lease() const {
    const auto fleet_size = peer_exchange_.peers().fleet_size(settings_.zone, loop_.now());
    return !sharing::uses_zone_digests(fleet_size) ||
           (peer_exchange_.is_representative() && !store_unreachable());
}

void edge_daemon::fetch_from_peer(platform::object_cache& cache, bool& pending, const sharing::beacon& b) {
    if (std::exchange(pending, true)) {
        return;
    }
    const auto before = cache.position();
    // In a large fleet the representatives fetch from other zones, and the other daemons from them.
    const bool waits_for_zone =
        b.zone != settings_.zone && b.zone_daemons > 0 && !peer_exchange_.is_representative();
    loop_.after(waits_for_zone ? other_zone_fetch_delay : peer_fetch_delay,
                [this, &cache, &pending, before, from = b.operator_address] {
                    pending = false;
                    if (cache.position() != before) {
                        return;  // the watch has delivered the change
                    }
                    peer_exchange_.fetch(
                        from, platform::kind_path(cache.kind()), [&cache, from](const std::string& copy) {
                            if (cache.replace_if_newer(copy)) {
                                base::log_line{base::log_level::info, "daemon",
                                               "Fetched newer store objects from a peer."}
                                    .field("peer", net::to_string(from))
                                    .field("era", static_cast<long long>(cache.position().era))
                                    .field("revision", static_cast<long long>(cache.position().revision));
                            }
                        });
                });
}

void edge_daemon::apply_fleet_size() {
    const auto live = peer_exchange_.peers().live_count(loop_.now());
    const bool discovering = loop_.now() - started_at_ < fleet_discovery_time;
    const auto daemons = discovering ? std::max(live, assumed_fleet_size) : live;
    apply_retry_share(fleet_share_.update(live, loop_.now()));
    router_.prompt_guard().set_daemon_count(live);
    if (std::exchange(applied_fleet_size_, daemons) == daemons) {
        return;
    }
    base::log_line{base::log_level::info, "fleet", "Number of live daemons changed."}.field(
        "count", static_cast<long long>(daemons));
    server_cache_.set_batch_delay(
        std::min(server_batch_delay_per_daemon * static_cast<int>(daemons), max_server_batch_delay));
    router_.prompt_guard().set_settle_time(sharing::news_delay(daemons));
}

void edge_daemon::apply_retry_share(std::size_t daemons) {
    const auto& r = settings_.retries;
    const auto extra = static_cast<int>(
        fleet_share_.share(r.extra_retries * usable_retry_budget_ratio, daemons, loop_.now()));
    const bool same_extra = std::exchange(applied_extra_retries_, extra) == extra;
    if (std::exchange(applied_sharing_daemons_, daemons) == daemons && same_extra) {
        return;
    }
    base::log_line{base::log_level::info, "fleet", "Share of the fleet's retries changed."}
        .field("daemons", static_cast<long long>(daemons))
        .field("extra_retries", extra);
    router_.set_retry_budget_share(
        {.ratio = r.ratio * usable_retry_budget_ratio, .extra_retries = extra, .window = r.window});
}

void edge_daemon::add_signals(const base::service_id& service, duties::service_demand& d) const {
    const auto now = loop_.now();
    for (const auto& e : evacuations_.evacuations()) {
        d.evacuated_zones.insert(e.zone);
    }
    const auto& signals = router_.server_signals();
    for (const auto& s : signals.status(now)) {
        if (s.limit && s.service == service) {
            d.server_limits.emplace(s.server, *s.limit);
        }
        // A cold server counts as the part of a server that it takes.
        if (s.cold > base::duration{} && s.service == service) {
            auto& limit = d.server_limits.try_emplace(s.server, s.cold_limit).first->second;
            limit = std::min(limit, s.cold_limit);
        }
    }
    // In a large fleet only the daemons of this zone tell their demand.
    const double covered = static_cast<double>(signals.demands().known_demand_daemons(now)) /
                           static_cast<double>(peer_exchange_.peers().live_count(now));
    d.arrivals_per_s = signals.demands().known_demand(service, now) / std::min(1.0, covered);
}

void edge_daemon::apply_fleet_to_signals() {
    const auto now = loop_.now();
    const auto& peers = peer_exchange_.peers();
    const bool within_zones = sharing::uses_zone_digests(peers.fleet_size(settings_.zone, now));
    const auto others = within_zones ? peers.addresses_in_zone(settings_.zone) : peers.addresses();
    const auto known = within_zones ? others.size() + 1 : peers.known_count();
    // In a large fleet the known addresses are those that are registered in this zone.
    const auto registered = within_zones ? others.size() + 1 : peers.fleet_size(settings_.zone, now);
    router_.server_signals().set_fleet(
        {.within_zones = within_zones,
         .settle_time = sharing::news_delay(applied_fleet_size_),
         .silence_time = sharing::peer_timeout(known),
         .known_daemons = others.size() + 1,
         .registered_daemons = peers.registered_count() > 0 ? std::optional{registered} : std::nullopt});
}

}  // namespace chicorygap::daemon_app
