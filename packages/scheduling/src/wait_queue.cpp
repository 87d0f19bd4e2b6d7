#include "wait_queue.h"

#include <algorithm>

namespace chicorygap::scheduling {

namespace {

/// Number of starts of requests that can meet their target after which a late one of their rank has its turn.
constexpr int max_starts_before_late = 7;

}  // namespace

void wait_queue::push(local_request_id id, const scheduled_request& request, const start_limits& limits) {
    auto& ahead_in_workspace = waiting_by_workspace_[{request.priority_rank, request.workspace}];
    const position at{request.priority_rank, false, ahead_in_workspace, limits.for_target, next_sequence_++};
    ++ahead_in_workspace;
    order_.emplace(at, id);
    entries_.emplace(id, entry{at, request.workspace, limits.latest});
}

void wait_queue::update_late(base::time_point now) {
    for (auto& [id, e] : entries_) {
        if (!e.at.late && e.at.for_target < now) {
            order_.erase(e.at);
            e.at.late = true;
            order_.emplace(e.at, id);
        }
    }
}

void wait_queue::start(local_request_id id) {
    const auto it = entries_.find(id);
    if (it == entries_.end()) {
        return;
    }
    auto& starts = starts_before_late_[it->second.at.priority_rank];
    starts = it->second.at.late ? 0 : std::min(starts + 1, max_starts_before_late);
    erase(id);
}

bool wait_queue::erase(local_request_id id) {
    const auto it = entries_.find(id);
    if (it == entries_.end()) {
        return false;
    }
    const auto count_it = waiting_by_workspace_.find({it->second.at.priority_rank, it->second.workspace});
    if (--count_it->second == 0) {
        waiting_by_workspace_.erase(count_it);
    }
    order_.erase(it->second.at);
    entries_.erase(it);
    return true;
}

void wait_queue::visit(const std::function<bool(local_request_id)>& visit) const {
    auto taken = order_.end();  // late request that was visited before its position
    std::optional<std::uint8_t> rank;
    for (auto it = order_.begin(); it != order_.end(); ++it) {
        if (rank != it->first.priority_rank) {
            rank = it->first.priority_rank;
            taken = late_turn(*rank);
            if (taken != order_.end() && !visit(taken->second)) {
                return;
            }
        }
        if (it != taken && !visit(it->second)) {
            return;
        }
    }
}

wait_queue::ordered_requests::const_iterator wait_queue::late_turn(std::uint8_t priority_rank) const {
    const auto starts = starts_before_late_.find(priority_rank);
    if (starts == starts_before_late_.end() || starts->second < max_starts_before_late) {
        return order_.end();
    }
    const auto first = order_.lower_bound(position{.priority_rank = priority_rank, .late = true});
    return first != order_.end() && first->first.priority_rank == priority_rank ? first : order_.end();
}

std::vector<local_request_id> wait_queue::expired(base::time_point now) const {
    std::vector<local_request_id> out;
    for (const auto& [id, e] : entries_) {
        if (now >= e.latest_start) {
            out.push_back(id);
        }
    }
    return out;
}

std::size_t wait_queue::count_ahead(std::uint8_t priority_rank) const {
    std::size_t n = 0;
    for (const auto& [at, id] : order_) {
        if (at.priority_rank > priority_rank) {
            break;
        }
        n += at.priority_rank < priority_rank || !at.late ? 1 : 0;
    }
    return n;
}

}  // namespace chicorygap::scheduling
