/// @file
/// Evacuations of zones, as the operator asks for them in the store.
#pragma once

#include "base/random.h"
#include "base/store_position.h"
#include "base/time.h"
#include "catalog/evacuation_table.h"
#include "http/server_session.h"
#include "net/loop.h"
#include "platform/object_cache.h"
#include "platform/object_mirror.h"

#include <cstddef>
#include <functional>
#include <set>
#include <vector>

namespace chicorygap::platform {
class store_client;
}

namespace chicorygap::daemon_app {

struct evacuation_hooks {
    /// The evacuations were read for the first time, or have changed.
    std::function<void(catalog::evacuation_state)> changed;
    /// The store no longer held the changes after the cached revision.
    std::function<void()> history_lost;
    /// Returns the options of the next watch.
    std::function<platform::watch_options(int mirror_failures)> next_watch;
};

/// Reads the evacuations from the store, a mirror or a peer, serves them to other daemons, and tells which
/// zones are evacuated.
///
/// Concept: an entry of the kind, named after a zone, asks that nothing more is sent to the servers of the
/// zone until the entry is removed. `catalog::evacuation_table` decides; this class reads and logs.
///
/// Usage: `evacuation_agent a{loop, store, enabled, random, hooks}; a.start();`, and `a.expire()` regularly.
class evacuation_agent {
public:
    /// @param enabled false if the deployment has no evacuations; the kind is then not read.
    evacuation_agent(net::loop& l, platform::store_client& store, bool enabled, base::random_function random,
                     evacuation_hooks hooks);
    evacuation_agent(const evacuation_agent&) = delete;
    evacuation_agent& operator=(const evacuation_agent&) = delete;

    /// Starts reading. Does nothing if evacuations are not enabled.
    void start();
    /// Ends the precautions after a return of the store from a copy when their time is over.
    void expire();
    /// Reads all entries anew, because the store has returned from a copy.
    void store_restored() { cache_.store_restored(); }
    /// Replaces a pending watch, because another cache has learned that the store has dropped its history.
    void restart_watch() { cache_.restart_watch(); }

    /// Logs a warning for each evacuation of a zone that does not exist, once.
    /// @param known_zones returns all zones with daemons, servers or prices; called only if there are
    /// evacuations.
    void check_zones(const std::function<std::set<base::zone_id>()>& known_zones);

    /// Answers lists and watches of other daemons.
    /// @return false if the request is for something else.
    bool handle(http::server_session& s, const http::request& r);
    void session_closed(const http::server_session& s) { mirror_.session_closed(s); }

    /// @return true once the entries were read, or if evacuations are not enabled.
    [[nodiscard]] bool ready() const { return !enabled_ || table_.known(); }
    [[nodiscard]] bool enabled() const noexcept { return enabled_; }
    [[nodiscard]] platform::object_cache& cache() noexcept { return cache_; }
    [[nodiscard]] const platform::object_cache& cache() const noexcept { return cache_; }
    /// @return position of the latest change that this daemon knows of, for its beacons; 0 before the first
    /// list.
    [[nodiscard]] base::store_position announced() const noexcept { return announced_; }
    /// @return the evacuations in force, by zone.
    [[nodiscard]] std::vector<catalog::evacuation> evacuations() const { return table_.evacuations(); }
    /// @return number of evacuations in force whose zone did not exist at the last check.
    [[nodiscard]] std::size_t unknown_zone_count() const noexcept { return unknown_zones_.size(); }

private:
    void on_entries_changed();
    void update_announced(std::vector<catalog::evacuation_entry> entries);
    void log_change(const catalog::evacuation_change& c) const;

    net::loop& loop_;
    bool enabled_;
    evacuation_hooks hooks_;
    catalog::evacuation_table table_;
    platform::object_cache cache_;
    platform::object_mirror mirror_;
    std::vector<catalog::evacuation_entry> entries_;
    base::store_position announced_;
    std::set<base::zone_id> unknown_zones_;
};

}  // namespace chicorygap::daemon_app
