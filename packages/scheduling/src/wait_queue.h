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

/// Requests that wait, ordered by priority rank and, within a rank, round-robin over workspaces.
///
/// Under overload, requests of a higher priority start first. A workspace that sends many more requests than
/// usual delays only its own requests, not those of other workspaces.
class wait_queue {
public:
    /// @param id a request that is not in the queue.
    /// @param latest_start time after which waiting longer is useless.
    void push(local_request_id id, const scheduled_request& request, base::time_point latest_start);

    /// @return false if the request was not in the queue.
    bool erase(local_request_id id);

    /// Calls a function for each request in the order in which the requests should start.
    /// @param visit returns false to end the iteration; must not change the queue.
    void visit(const std::function<bool(local_request_id)>& visit) const;

    /// @return requests whose latest start time has passed.
    [[nodiscard]] std::vector<local_request_id> expired(base::time_point now) const;

    /// @return number of requests that start before a new one of this priority rank.
    [[nodiscard]] std::size_t count_ahead(std::uint8_t priority_rank) const;

    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }
    [[nodiscard]] bool empty() const noexcept { return entries_.empty(); }

private:
    /// Sort key: priority rank, round of the request within its workspace, order of arrival.
    struct position {
        std::uint8_t priority_rank = 0;
        std::uint64_t round = 0;
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

    std::map<position, local_request_id> order_;
    std::unordered_map<local_request_id, entry> entries_;
    std::map<workspace_queue_key, std::size_t> waiting_by_workspace_;
    std::uint64_t next_sequence_ = 0;
};

}  // namespace chicorygap::scheduling
