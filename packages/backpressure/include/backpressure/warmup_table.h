/// @file
/// Cold servers, and the starts that this daemon may make on them.
#pragma once

#include "backpressure/server_status.h"
#include "backpressure/signal_report.h"
#include "backpressure/warmup_division.h"
#include "base/id.h"
#include "base/time.h"
#include "catalog/backend_server.h"
#include "catalog/service.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace chicorygap::backpressure {

class demand_table;

/// What says that a server is cold.
enum class cold_source : std::size_t {
    entry,          ///< its entry in the store
    first_seen,     ///< an instance that was not listed before
    response,       ///< a response of the server
    unreachable,    ///< this daemon could not reach it; it may come back as a new process
    zone_returned,  ///< its zone takes requests again
};
inline constexpr std::size_t cold_source_count = 5;

/// When a cold server takes further requests of this daemon.
struct warmup_forecast {
    /// Time until the server takes the next request.
    base::duration first{};
    /// Requests per second that it takes then, until it is warm; absent if it is warm by then.
    std::optional<double> rate;
    /// Time until the server is warm.
    base::duration remaining{};
};

/// Cold servers, and the starts that this daemon may make on them.
///
/// Concept: a server that has just started takes few requests and ends if it gets many more. It looks idle to
/// all daemons at the same time, so that a burst would go there first. Load pattern: a release, a zone or
/// single servers that start while many callers send. The number of requests that reach a cold server is
/// bounded for each second and holds without messages, also for daemons out of contact: rendezvous hashing
/// selects a few daemons that send to the server (`demand_table::place`), and each of them keeps a least time
/// between two starts (`divide_warmup`).
///
/// Usage:
/// @code
/// t.set_bounds(bounds); t.set_services(warmups);
/// t.set_servers(list, now); t.refresh(demands, now);
/// if (t.may_start(key, now)) { t.record_start(key, now); }
/// @endcode
/// Not thread-safe. Performs no I/O and reads no clock. After each change, `refresh` must be called.
class warmup_table {
public:
    using service_warmups = std::unordered_map<base::service_id, catalog::warmup>;

    /// @param b nothing for no limit.
    void set_bounds(std::optional<warmup_bounds> b) { bounds_ = b; }
    /// Sets the warm-up of each service that has one.
    void set_services(service_warmups s) { services_ = std::move(s); }
    /// Replaces the server list. Instances that were not in an earlier list count as cold, unless this is the
    /// first one.
    void set_servers(const std::vector<catalog::backend_server>& servers, base::time_point now);

    /// Records what a server says of itself.
    /// @param remaining time for which it stays cold.
    void record_response(server_key server, base::duration remaining, base::time_point now);
    /// Records that this daemon could not reach a server, or that a connection to it broke.
    void record_unreachable(server_key server, base::time_point now);
    /// Records that the servers of a zone may get requests again.
    void record_zone_returned(const base::zone_id& zone, base::time_point now);

    /// Recomputes this daemon's part of the cold servers.
    /// @param found called for each server that has become cold.
    void refresh(const demand_table& demands, base::time_point now,
                 const std::function<void(server_key)>& found);

    /// @return time for which the server counts as cold; 0 if it does not.
    [[nodiscard]] base::duration remaining(server_key server, base::time_point now) const;
    /// @return false if the server is cold and takes no request of this daemon now.
    [[nodiscard]] bool may_start(server_key server, base::time_point now) const;
    /// Any server of a service with a warm-up may have become cold already without this daemon knowing it.
    /// @return true if this daemon has started so many requests on the server within the last second that
    /// others should be preferred, whether it is known to be cold or not.
    [[nodiscard]] bool crowded(server_key server, base::time_point now) const;
    /// Counts the start of a request on the server, cold or not.
    void record_start(server_key server, base::time_point now);
    /// @return when the server takes further requests; nothing if it is not cold.
    [[nodiscard]] std::optional<warmup_forecast> forecast(server_key server, base::time_point now) const;
    /// @return requests per second that all daemons together send to the server; nothing if it is not cold.
    [[nodiscard]] std::optional<double> limit(server_key server, base::time_point now) const;

    /// @return true if starts on the servers of the service are limited while they are cold.
    [[nodiscard]] bool limits(const base::service_id& service) const {
        return bounds_ && services_.contains(service);
    }

    /// @return the listed servers that are cold.
    [[nodiscard]] std::vector<server_key> cold_servers(base::time_point now) const;
    /// Adds what is known of the server's coldness.
    void describe(server_key server, server_status& out, base::time_point now) const;

private:
    /// One reason for which a server counts as cold.
    struct statement {
        base::time_point made_at;
        base::duration remaining{};  ///< at that time; bounded by the warm-up of the service
    };
    /// This daemon's part of a cold server.
    struct part {
        warmup_division division;
        /// Earliest start; absent if this daemon is not among the senders.
        std::optional<base::time_point> usable_from;
    };
    struct server_state {
        base::service_id service;
        base::zone_id zone;
        std::uint64_t entry_revision = 0;
        base::duration entry_remaining{};
        bool listed = false;
        base::time_point last_listed;
        std::array<statement, cold_source_count> statements;
        std::optional<part> own;                     ///< absent while the server is not known to be cold
        std::deque<base::time_point> recent_starts;  ///< the last one, and those of the last second
    };

    [[nodiscard]] const catalog::warmup* warmup_of(const server_state& s) const;
    /// @return end of the time for which the server is cold by that statement.
    [[nodiscard]] static base::time_point cold_until(const statement& s, const catalog::warmup& w);
    [[nodiscard]] base::duration remaining(const server_state& s, base::time_point now) const;
    /// @return state of a cold server of which this daemon's part is known, or null.
    [[nodiscard]] const server_state* find_cold(server_key server, base::time_point now) const;
    static void state(server_state& s, cold_source source, base::duration remaining, base::time_point now);
    static void read_entry(server_state& s, const catalog::backend_server& entry, bool first_seen,
                           base::time_point now);
    void update_part(server_key key, server_state& s, const demand_table& demands, base::time_point now);
    void forget_unlisted(base::time_point now);

    std::optional<warmup_bounds> bounds_;
    service_warmups services_;
    bool list_read_ = false;
    /// Looked up for each server in each placement.
    std::unordered_map<server_key, server_state> servers_;
};

}  // namespace chicorygap::backpressure
