/// @file
/// How often servers end and connections break by themselves.
#pragma once

#include "base/time.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace chicorygap::crash_guard {

/// How often servers end and connections break by themselves: the yardstick for a part whose requests never
/// get an answer.
///
/// Concept: a part is suspicious as far as the ends of its servers are unlikely to be chance. A server ends
/// by chance as often as servers end without the part; a connection breaks by chance as often as it does
/// under other requests. The more requests are observed, the more parts could be met by chance several times,
/// and the smaller the probability must be.
///
/// Performs no I/O and reads no clock.
class end_rates {
public:
    /// Longest time that rates cover.
    static constexpr base::duration memory = std::chrono::seconds{60};
    /// Time that rates cover at least, and that the number of requests covers.
    static constexpr base::duration window = std::chrono::seconds{10};

    /// Sets the number of servers that the fleet uses.
    void set_server_count(std::size_t n) { servers_ = std::max<std::size_t>(1, n); }
    /// Sets the number of daemons, each of which is taken to observe as many requests as this one.
    void set_daemon_count(std::size_t n) { daemons_ = std::max<std::size_t>(1, n); }

    /// Records that a request got past the beginning of its answer.
    void record_answer(base::time_point now);
    /// Records a connection that broke at the beginning of an answer, where it is not known whether the
    /// server has ended.
    void record_break(const std::vector<std::uint64_t>& parts, base::time_point now);
    /// Records the end of a server, here or at a peer.
    /// @return false if it was known.
    bool record_end(std::uint64_t instance, base::time_point at);

    /// @param explained ends that are not counted, by instance.
    /// @param since beginning of the time that the rate is wanted for.
    /// @return ends of servers per second and server.
    template <typename Map>
    [[nodiscard]] double ends_without(const Map& explained, base::time_point since,
                                      base::time_point now) const {
        std::size_t n = 0;
        for (const auto& [instance, at] : ends_) {
            n += at >= std::min(since, now - window) && !explained.contains(instance) ? 1 : 0;
        }
        return rate(n, since, now);
    }
    /// @return share of the requests without the part whose connections broke at the beginning of an answer.
    [[nodiscard]] double break_share_without(std::uint64_t part, base::time_point now) const;
    /// @return the probability below which chance is excluded, for the number of requests observed.
    [[nodiscard]] double significance(base::time_point now) const;

    /// @return the latest ends, at most the number.
    [[nodiscard]] std::vector<std::pair<std::uint64_t, base::time_point>> latest_ends(std::size_t most) const;

    void expire(base::time_point now);

private:
    struct broken_request {
        base::time_point at;
        std::vector<std::uint64_t> parts;
    };
    struct second_count {
        std::int64_t second = 0;
        std::size_t requests = 0;
    };

    [[nodiscard]] double rate(std::size_t ends, base::time_point since, base::time_point now) const;
    [[nodiscard]] std::size_t recent_requests(base::time_point now) const;

    std::size_t servers_ = 10;
    std::size_t daemons_ = 1;
    std::map<std::uint64_t, base::time_point> ends_;
    std::deque<broken_request> breaks_;
    std::deque<second_count> requests_;
};

}  // namespace chicorygap::crash_guard
