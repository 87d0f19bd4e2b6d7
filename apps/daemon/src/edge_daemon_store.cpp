// What the daemon does with what it reads from the store.
#include "base/log.h"
#include "edge_daemon.h"
#include "platform/object_codec.h"

#include <algorithm>
#include <utility>

namespace chicorygap::daemon_app {

void edge_daemon::on_configuration_changed() {
    const auto it = configuration_cache_.items().find(platform::configuration_name);
    if (it == configuration_cache_.items().end()) {
        return;
    }
    apply_catalog(platform::decode_configuration(it->second.spec), "store");
}

void edge_daemon::apply_catalog(std::shared_ptr<const catalog::snapshot> s, const char* source) {
    if (!s) {
        return;
    }
    // After the store has returned from a copy, a version may be written again with other content.
    const bool rewritten =
        catalog_ && s->version == catalog_->version && s->content_hash != catalog_->content_hash;
    if (catalog_ && s->version <= catalog_->version && !rewritten) {
        return;
    }
    catalog_ = std::move(s);
    router_.set_catalog(catalog_);
    base::log_line{base::log_level::info, "daemon", "Configuration applied."}
        .field("version", static_cast<long long>(catalog_->version))
        .field("routes", static_cast<long long>(catalog_->route_count()))
        .field("era", static_cast<long long>(configuration_cache_.position().era))
        .field("revision", static_cast<long long>(configuration_cache_.position().revision))
        .field("source", source);
}

void edge_daemon::on_store_era(std::uint64_t previous, std::uint64_t current) {
    const bool restored = previous != 0;
    base::log_line{
        restored ? base::log_level::warning : base::log_level::info, "platform",
        restored ? "Store has returned from a copy; changes may be lost." : "Era of the store known."}
        .field("era", static_cast<long long>(current))
        .field("previous_era", static_cast<long long>(previous))
        .field("servers_revision", static_cast<long long>(server_cache_.position().revision))
        .field("configuration_revision", static_cast<long long>(configuration_cache_.position().revision))
        .field("version", static_cast<long long>(catalog_ ? catalog_->version : 0));
    duties_.on_store_era(current, restored);
    if (restored) {
        configuration_cache_.store_restored();
        directory_.store_restored(loop_.now());
        server_cache_.store_restored();
        evacuations_.store_restored();
        peer_exchange_.store_restored();
    }
}

void edge_daemon::on_servers_changed() {
    server_list_.update(server_cache_.items(), server_cache_.restored_at());
    directory_.observe(server_list_.servers(), loop_.now(), server_list_.from_copy());
    if (server_cache_.removals_final()) {
        directory_.confirm_removals(loop_.now());
    }
    servers_known_ = true;
    apply_servers();
}

void edge_daemon::on_store_contact(platform::store_contact c) {
    if (c == platform::store_contact::disturbed) {
        directory_.record_store_failure(loop_.now());
    } else {
        directory_.set_store_reachable(c == platform::store_contact::established, loop_.now());
    }
}

void edge_daemon::on_removals_final(const char* source) {
    if (!directory_.confirm_removals(loop_.now())) {
        return;
    }
    base::log_line{base::log_level::info, "daemon",
                   "Missing servers removed; a peer knows that they have left."}
        .field("source", source)
        .field("era", static_cast<long long>(server_cache_.position().era))
        .field("revision", static_cast<long long>(server_cache_.position().revision));
    apply_servers();
}

evacuation_hooks edge_daemon::make_evacuation_hooks() {
    return {.changed = [this](catalog::evacuation_state s) { on_evacuations_changed(std::move(s)); },
            .history_lost =
                [this] {
                    configuration_cache_.restart_watch();
                    server_cache_.restart_watch();
                },
            .next_watch =
                [this](int failures) {
                    auto o = next_watch_options(*settings_.evacuation_deadline, failures, evacuation_waits);
                    o.max_wait = std::min(o.max_wait, evacuation_waits.store);
                    return o;
                }};
}

void edge_daemon::on_evacuations_changed(catalog::evacuation_state state) {
    router_.set_evacuations(std::move(state));
    if (servers_known_ && router_.servers().empty()) {
        apply_servers();  // it waited for the first list of the evacuations
    }
    peer_exchange_.send_soon(true);
}

std::set<base::zone_id> edge_daemon::known_zones() const {
    std::set<base::zone_id> out{settings_.zone};
    for (const auto& s : router_.servers()) {
        out.insert(s.zone);
    }
    for (const auto* p : peer_exchange_.peers().live_peers(loop_.now())) {
        out.insert(p->zone);
    }
    for (const auto& [id, service] : catalog_->services()) {
        for (const auto& [zone, price] :
             service.scaling ? service.scaling->zone_prices : std::map<base::zone_id, double>{}) {
            out.insert(zone);
        }
    }
    return out;
}

std::map<base::zone_id, std::size_t> edge_daemon::running_by_zone() const {
    std::map<base::backend_server_id, base::zone_id> zones;
    for (const auto& s : router_.servers()) {
        zones.emplace(s.id, s.zone);
    }
    std::map<base::zone_id, std::size_t> out;
    for (const auto& [id, load] : router_.local_loads()) {
        for (const auto& s : load.servers) {
            if (const auto it = zones.find(s.server); it != zones.end()) {
                out[it->second] += s.running;
            }
        }
    }
    return out;
}

void edge_daemon::apply_servers() {
    // A zone of which it is not known whether it is evacuated gets no requests.
    if (!evacuations_.ready()) {
        return;
    }
    const auto servers = directory_.servers();
    router_.set_servers(servers);
    base::log_line{base::log_level::info, "daemon", "Server list updated."}
        .field("count", static_cast<long long>(servers.size()))
        .field("kept", static_cast<long long>(directory_.kept_count()))
        .field("ignored", static_cast<long long>(directory_.ignored_count()))
        .field("era", static_cast<long long>(server_cache_.position().era))
        .field("revision", static_cast<long long>(server_cache_.position().revision))
        .field("source", platform::to_string(server_cache_.source()))
        .field("store_reachable", server_cache_.reachable() ? "yes" : "no");
}

}  // namespace chicorygap::daemon_app
