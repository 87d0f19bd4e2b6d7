#include "retry/fleet_share.h"

namespace chicorygap::retry {

std::size_t fleet_share::update(std::size_t live, base::time_point now) {
    while (!largest_.empty() && largest_.back().live <= live) {
        largest_.pop_back();
    }
    largest_.push_back({live, now});
    while (now - largest_.front().last_seen > memory_) {
        largest_.pop_front();
    }
    return largest_.front().live;
}

}  // namespace chicorygap::retry
