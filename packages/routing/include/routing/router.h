/// @file
/// Selection of backend servers for one service.
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "routing/events.h"
#include "routing/types.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace chicorygap::routing {

/// Selects the backend server of each attempt of one service.
///
/// Keeps a table of servers whose lagging load reports are corrected by what this daemon and its peers sent
/// since, and compares two random candidates, so that daemons with the same stale report do not all select
/// the same server.
///
/// Usage:
/// @code
/// router r{{.self = vm, .zone = zone}, random};
/// r.handle(servers_changed{servers}, now);
/// if (const auto c = r.choose({.model = "m"}, now)) {
///     r.handle(attempt_started{{request, 1}, c->server}, now);
/// }
/// @endcode
/// Not thread-safe; the caller holds its service's mutex.
class router {
public:
    /// @param o settings.
    /// @param random source of randomness for the two candidates.
    router(options o, base::random_function random);
    ~router();

    router(router&&) noexcept;
    router& operator=(router&&) noexcept;
    router(const router&) = delete;
    router& operator=(const router&) = delete;

    /// Applies one event. Events about unknown servers or attempts are ignored.
    void handle(const event& e, base::time_point now);

    /// Selects a server. The caller reports the start with `attempt_started`.
    /// @return the choice, or nothing if no server that is not leaving, ejected or excluded has the model.
    [[nodiscard]] std::optional<selected_server> select_server(const route_request& r, base::time_point now);

    /// Capacity given to admission: this daemon's share of the free slots. It is at least 1 while any slot is
    /// free, so that a daemon that receives all traffic can still fill every server.
    /// @return number of additional requests that this daemon may start now.
    [[nodiscard]] int free_slots(base::time_point now) const;

    /// @param limit largest number of entries.
    /// @return this daemon's requests in flight for its peers, busiest servers first.
    [[nodiscard]] std::vector<server_in_flight> load_digest(std::size_t limit) const;

    /// @return the state of every known server.
    [[nodiscard]] std::vector<server_status> snapshot(base::time_point now) const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

}  // namespace chicorygap::routing
