#include "wait_queue.h"

namespace chicorygap::scheduling {

void wait_queue::push(local_request_id id, const scheduled_request& request, base::time_point latest_start) {
    auto& ahead_in_workspace = waiting_by_workspace_[{request.priority_rank, request.workspace}];
    const position at{request.priority_rank, ahead_in_workspace, next_sequence_++};
    ++ahead_in_workspace;
    order_.emplace(at, id);
    entries_.emplace(id, entry{at, request.workspace, latest_start});
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
    for (const auto& [at, id] : order_) {
        if (!visit(id)) {
            return;
        }
    }
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
        ++n;
    }
    return n;
}

}  // namespace chicorygap::scheduling
