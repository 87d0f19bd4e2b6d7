/// @file
/// Signals of the servers, and what they allow this daemon to send.
#pragma once

#include "backpressure/demand_table.h"
#include "backpressure/rate_limit.h"
#include "backpressure/server_key.h"
#include "backpressure/server_signals.h"
#include "backpressure/server_status.h"
#include "backpressure/signal_report.h"
#include "backpressure/token_bucket.h"
#include "backpressure/warmup_table.h"
#include "base/id.h"
#include "base/time.h"
#include "catalog/backend_server.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chicorygap::backpressure {

struct signal_table_hooks {
    /// The limit of a server, its wait or its leaving has changed.
    /// @param source "server" or "peer".
    std::function<void(const server_status&, std::string_view source)> changed;
    /// There is a change that peers should be told soon.
    /// @param own true if a server told it, false if a peer did.
    std::function<void(bool own)> news;
    /// A listed server is about to stop.
    std::function<void()> server_leaving;
    /// A listed server was found to be cold.
    std::function<void(const server_status&)> server_cold;
};

/// When a server takes further requests of this daemon.
struct start_forecast {
    /// Time until the server takes the next request.
    base::duration first{};
    /// Requests per second that it takes then; absent without a limit.
    std::optional<double> rate;
    /// Time until the server takes any number of requests; absent if no end of its limits is known.
    std::optional<base::duration> limit_ends;
};

/// Signals of the servers, and what they allow this daemon to send.
///
/// Concept: each response is read for a rate limit of its server, a time for which the server wants no
/// requests, and the announcement that it stops. Limits and announcements are exchanged with the peers. The
/// share of a limit that this daemon may use (`demand_table`) fills a token bucket, which every start of a
/// request on the server takes from. A daemon that was just started, or has just become one of those that
/// send to a server, begins without tokens after the time in which the others learn of it. Starts on servers
/// that are cold are limited besides, by what is known beforehand (`warmup_table`).
///
/// Usage:
/// @code
/// t.observe(server, response.signals, sent_at, now);
/// if (t.may_start(key, now)) { t.record_start(key, now); }
/// @endcode
/// Not thread-safe. Performs no I/O and reads no clock.
class signal_table {
public:
    signal_table(const base::vm_id& self, const base::zone_id& zone, base::time_point started_at);

    void set_hooks(signal_table_hooks hooks) { hooks_ = std::move(hooks); }
    /// Takes effect with the next call of `expire`.
    void set_fleet(const fleet_parameters& p) { demands_.set_parameters(p); }

    /// Sets what cold servers take; without bounds or without warm-ups there is no limit.
    void set_warmups(std::optional<warmup_bounds> b, warmup_table::service_warmups s, base::time_point now);

    /// Replaces the server list. Signals of servers that are not listed are forgotten after a while.
    void set_servers(const std::vector<catalog::backend_server>& servers, base::time_point now);

    /// Records what a server said in a response.
    /// @param server a server, listed or not.
    /// @param sent_at time at which the request was sent.
    void observe(const catalog::backend_server& server, const server_signals& s, base::time_point sent_at,
                 base::time_point now);

    /// Records that this daemon could not reach a server, or that a connection to it broke: it may come back
    /// as a new, cold process under the same entry.
    void record_unreachable(server_key server, base::time_point now);
    /// Records that the servers of a zone may get requests again. They count as cold for the warm-up time of
    /// their service, so that the requests return gradually.
    void zone_returned(const base::zone_id& zone, base::time_point now);

    /// Counts a request of a caller.
    void record_arrival(const base::service_id& service, base::time_point now) {
        demands_.record_arrival(service, now);
    }

    /// @return false if the server wants no request of this daemon now.
    [[nodiscard]] bool may_start(server_key server, base::time_point now) const;
    /// Counts the start of a request on the server.
    void record_start(server_key server, base::time_point now);
    /// @return when the server takes further requests; nothing if it takes none of this daemon.
    [[nodiscard]] std::optional<start_forecast> forecast(server_key server, base::time_point now) const;
    /// @return true if the server has announced that it stops.
    [[nodiscard]] bool leaving(server_key server) const;
    /// @return requests per second that the fleet may send to the server; nothing without a limit.
    [[nodiscard]] std::optional<double> limit(server_key server) const;

    /// @return true if this daemon has started so many requests on the server within a second that others
    /// should be preferred (`warmup_table::crowded`).
    [[nodiscard]] bool crowded(server_key server, base::time_point now) const {
        return warmups_.crowded(server, now);
    }
    /// @return true if starts on the servers of the service are limited while they are cold.
    [[nodiscard]] bool limits_cold_servers(const base::service_id& service) const {
        return warmups_.limits(service);
    }
    /// @return true if the server is cold, and thus slower than others.
    [[nodiscard]] bool cold(server_key server, base::time_point now) const {
        return warmups_.remaining(server, now) > base::duration{};
    }

    [[nodiscard]] const demand_table& demands() const noexcept { return demands_; }

    /// @return what the receivers should know, of bounded size: what was reported to them least often since
    /// it has changed.
    [[nodiscard]] signal_report report(audience to, base::time_point now);
    /// @return true if there are changes that were not reported to the receivers.
    [[nodiscard]] bool has_unreported_changes(audience to) const;
    /// Adds what a peer has observed or was told.
    /// @param stopping the peer is shutting down.
    void merge(const base::vm_id& peer, const base::zone_id& zone, const signal_report& r, bool stopping,
               base::time_point now);

    /// Recomputes the shares and forgets what is old. To be called several times a second.
    void expire(base::time_point now);

    /// @return the servers with a signal that is in force.
    [[nodiscard]] std::vector<server_status> status(base::time_point now) const;
    /// @return number of times that a server was passed over because of its signals.
    [[nodiscard]] std::uint64_t deferred_starts() const noexcept { return deferred_starts_; }
    /// @return number of times that a server was passed over because it is cold.
    [[nodiscard]] std::uint64_t starts_deferred_by_warmup() const noexcept { return deferred_by_warmup_; }

private:
    /// Division of a limit as last computed.
    struct allowance {
        token_bucket bucket;
        limit_share share;
        /// Fraction while all daemons among which the limit is divided were heard of.
        std::optional<double> agreed_fraction;
        /// Earliest start; absent while this daemon is not among those that send to the server.
        std::optional<base::time_point> usable_from;
    };
    struct server_state {
        std::optional<catalog::backend_server> listed;
        base::time_point last_listed;
        rate_limit limit;
        allowance own;
        base::time_point paused_until;
        bool leaving = false;
        std::array<std::uint32_t, 2> reports{};  ///< since the last change, by audience
    };

    [[nodiscard]] static std::uint32_t& reports_of(server_state& s, audience to) {
        return s.reports.at(static_cast<std::size_t>(to));
    }
    [[nodiscard]] static bool has_signal(const server_state& s, base::time_point now);
    /// @return id of a new statement; never 0.
    [[nodiscard]] std::uint32_t next_statement();
    /// Recomputes the share of this daemon.
    /// @param first the limit was not known before.
    void update_allowance(server_key key, server_state& s, bool first, base::time_point now);
    void limit_changed(server_key key, server_state& s, bool was_active, std::string_view source,
                       base::time_point now);
    void set_leaving(server_key key, server_state& s, std::string_view source, base::time_point now);
    void report_change(server_key key, const server_state& s, std::string_view source,
                       base::time_point now) const;
    [[nodiscard]] server_status status_of(server_key key, const server_state& s, base::time_point now) const;
    void refresh_warmups(base::time_point now);
    void limit_size();

    signal_table_hooks hooks_;
    demand_table demands_;
    warmup_table warmups_;
    base::time_point started_at_;
    std::uint32_t last_statement_;
    /// Servers that have or had a signal.
    std::map<server_key, server_state> servers_;
    /// All listed servers.
    std::unordered_map<server_key, catalog::backend_server> listed_;
    mutable std::uint64_t deferred_starts_ = 0;
    mutable std::uint64_t deferred_by_warmup_ = 0;
};

}  // namespace chicorygap::backpressure
