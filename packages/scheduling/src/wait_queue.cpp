#include "wait_queue.h"

namespace chicorygap::scheduling {

void wait_queue::push(local_request_id id, const scheduled_request& w, base::time_point latest_start) {
    auto& in_lane = waiting_by_lane_[{w.priority_rank, w.workspace}];
    const rank at{w.priority_rank, in_lane, next_order_++};
    ++in_lane;
    order_.emplace(at, id);
    entries_.emplace(id, entry{at, w.workspace, latest_start});
}

bool wait_queue::erase(local_request_id id) {
    const auto it = entries_.find(id);
    if (it == entries_.end()) {
        return false;
    }
    const auto lane_it = waiting_by_lane_.find({it->second.at.priority_rank, it->second.workspace});
    if (--lane_it->second == 0) {
        waiting_by_lane_.erase(lane_it);
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

std::size_t wait_queue::ahead_of(std::uint8_t priority_rank) const {
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
