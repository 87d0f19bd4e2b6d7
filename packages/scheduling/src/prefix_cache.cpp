#include "prefix_cache.h"

namespace chicorygap::scheduling {

void prefix_cache::set_capacity(std::int64_t tokens) {
    capacity_ = tokens;
    evict();
}

void prefix_cache::insert(const std::vector<prefix_part>& parts) {
    // Last part first, so that the first one, without which the others are useless, is the most recent.
    for (auto it = parts.rbegin(); it != parts.rend(); ++it) {
        const auto known = by_id_.find(it->id);
        if (known != by_id_.end()) {
            recent_.splice(recent_.begin(), recent_, known->second);
            continue;
        }
        recent_.push_front(*it);
        by_id_[it->id] = recent_.begin();
        used_ += it->tokens;
    }
    evict();
}

std::int64_t prefix_cache::cached_tokens(const std::vector<prefix_part>& parts) const {
    std::int64_t tokens = 0;
    for (const auto& p : parts) {
        if (!by_id_.contains(p.id)) {
            break;
        }
        tokens += p.tokens;
    }
    return tokens;
}

void prefix_cache::clear() {
    recent_.clear();
    by_id_.clear();
    used_ = 0;
}

void prefix_cache::evict() {
    while (used_ > capacity_ && !recent_.empty()) {
        used_ -= recent_.back().tokens;
        by_id_.erase(recent_.back().id);
        recent_.pop_back();
    }
}

}  // namespace chicorygap::scheduling
