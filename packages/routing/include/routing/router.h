/// @file
/// Backend server selection for one service.
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
/// The router corrects each server's delayed load report by the requests that this daemon and its peers have
/// started and finished since the report. It then compares two random candidates (power of two choices), so
/// that daemons with the same stale report do not all select the same server.
///
/// Usage:
/// @code
/// router r{{.self = vm, .zone = zone}, random};
/// r.handle(servers_changed{servers}, now);
/// if (const auto c = r.select_server({.model = "m"}, now)) {
///     r.handle(attempt_started{{request, 1}, c->server}, now);
/// }
/// @endcode
/// Not thread-safe; the caller must hold the mutex of the service.
class router {
public:
    /// @param o settings.
    /// @param random random number source for the choice of candidates.
    router(options o, base::random_function random);
    ~router();

    router(router&&) noexcept;
    router& operator=(router&&) noexcept;
    router(const router&) = delete;
    router& operator=(const router&) = delete;

    /// Applies one event. Events for unknown servers or attempts are ignored.
    void handle(const event& e, base::time_point now);

    /// Selects a server. The caller reports the start of the attempt with `attempt_started`. Ejected servers
    /// are selected only if no other server is available.
    /// @return the selected server, or nothing if every server that has the model is draining or excluded.
    [[nodiscard]] std::optional<selected_server> select_server(const route_request& r, base::time_point now);

    /// Computes this daemon's share of the free slots, which limits admission. The share is at least 1 while
    /// any slot is free, so that a daemon that receives all traffic can still fill every server.
    /// @return number of additional requests that this daemon may start now.
    [[nodiscard]] int free_slots(base::time_point now) const;

    /// Returns the load digest that this daemon sends to its peers.
    /// @param limit maximum number of entries.
    /// @return this daemon's requests in flight by server, busiest servers first.
    [[nodiscard]] std::vector<server_in_flight> load_digest(std::size_t limit) const;

    /// @return the state of every known server.
    [[nodiscard]] std::vector<server_status> snapshot(base::time_point now) const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

}  // namespace chicorygap::routing
