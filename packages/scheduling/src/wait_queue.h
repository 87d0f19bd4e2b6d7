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

/// Requests that wait, by priority_rank and then in a fair order over workspaces.
///
/// Answers the patterns of many users at once (the more urgent ones start first) and of one workspace that
/// sends many times its usual (its own requests wait behind one another, not those of others).
class wait_queue {
public:
    /// @param id a request that is not in the queue.
    /// @param latest_start time after which waiting has no use.
    void push(local_request_id id, const scheduled_request& w, base::time_point latest_start);

    /// @return false if the request was not in the queue.
    bool erase(local_request_id id);

    /// Visits the requests in the order in which they should start.
    /// @param visit returns false to end the visit; it must not change the queue.
    void visit(const std::function<bool(local_request_id)>& visit) const;

    /// @return requests whose latest start has passed.
    [[nodiscard]] std::vector<local_request_id> expired(base::time_point now) const;

    /// @return requests that start before a new one of that priority_rank.
    [[nodiscard]] std::size_t ahead_of(std::uint8_t priority_rank) const;

    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }
    [[nodiscard]] bool empty() const noexcept { return entries_.empty(); }

private:
    /// Urgency, turn of the request among those of its workspace, order of arrival.
    struct rank {
        std::uint8_t priority_rank = 0;
        std::uint64_t turn = 0;
        std::uint64_t order = 0;

        auto operator<=>(const rank&) const = default;  // NOLINT(modernize-use-nullptr)
    };
    struct entry {
        rank at;
        base::workspace_id workspace;
        base::time_point latest_start;
    };
    using lane = std::pair<std::uint8_t, base::workspace_id>;

    std::map<rank, local_request_id> order_;
    std::unordered_map<local_request_id, entry> entries_;
    std::map<lane, std::size_t> waiting_by_lane_;
    std::uint64_t next_order_ = 0;
};

}  // namespace chicorygap::scheduling
