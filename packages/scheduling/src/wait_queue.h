/// @file
/// Requests that wait for a server.
#pragma once

#include "base/time.h"
#include "scheduling/scheduled_request.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chicorygap::scheduling {

/// Times between which it matters when a waiting request starts.
struct start_limits {
    /// Time after which waiting longer is useless.
    base::time_point latest;
    /// Time until which a start is expected to meet the target of the request. Equal for all requests if
    /// their targets do not count in the order.
    base::time_point for_target = base::time_point::max();
};

/// Requests that wait, ordered by priority rank and, within a rank, round-robin over workspaces.
///
/// Under overload, requests of a higher priority start first. A workspace that sends many more requests than
/// usual delays only its own requests, not those of other workspaces.
///
/// Load pattern: a burst is longer than the targets of the requests, so that requests which can only be late
/// are at the front of the queue, and those behind them become late as well. Where targets count, requests
/// that can still meet theirs start first within a rank, the earliest first among the workspaces' turns. One
/// start in eight is for a late request, so that these do not starve.
class wait_queue {
public:
    /// @param id a request that is not in the queue.
    void push(local_request_id id, const scheduled_request& request, const start_limits& limits);

    /// Moves requests that can no longer meet their target behind the others of their rank.
    void update_late(base::time_point now);

    /// Removes a request that starts.
    void start(local_request_id id);

    /// @return false if the request was not in the queue.
    bool erase(local_request_id id);

    /// Calls a function for each request in the order in which the requests should start.
    /// @param visit returns false to end the iteration; must not change the queue.
    void visit(const std::function<bool(local_request_id)>& visit) const;

    /// @return requests whose latest start time has passed.
    [[nodiscard]] std::vector<local_request_id> expired(base::time_point now) const;

    /// @return number of requests that start before a new one of this priority rank that can meet its target.
    [[nodiscard]] std::size_t count_ahead(std::uint8_t priority_rank) const;

    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }
    [[nodiscard]] bool empty() const noexcept { return entries_.empty(); }

private:
    /// Sort key: priority rank, whether the request can only be late, round of the request within its
    /// workspace, end of the time for its target, order of arrival.
    struct position {
        std::uint8_t priority_rank = 0;
        bool late = false;
        std::uint64_t round = 0;
        base::time_point for_target;
        std::uint64_t sequence = 0;

        auto operator<=>(const position&) const = default;  // NOLINT(modernize-use-nullptr)
    };
    struct entry {
        position at;
        base::workspace_id workspace;
        base::time_point latest_start;
    };
    /// Requests of one workspace with one priority rank.
    using workspace_queue_key = std::pair<std::uint8_t, base::workspace_id>;

    using ordered_requests = std::map<position, local_request_id>;

    /// @return the late request of the rank whose turn it is before the others, or the end.
    [[nodiscard]] ordered_requests::const_iterator late_turn(std::uint8_t priority_rank) const;

    ordered_requests order_;
    std::unordered_map<local_request_id, entry> entries_;
    std::map<workspace_queue_key, std::size_t> waiting_by_workspace_;
    /// Starts of requests that can meet their target since the last start of a late one, by priority rank.
    std::map<std::uint8_t, int> starts_before_late_;
    std::uint64_t next_sequence_ = 0;
};

}  // namespace chicorygap::scheduling
