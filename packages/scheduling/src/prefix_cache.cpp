#include "prefix_cache.h"

namespace chicorygap::scheduling {

void prefix_cache::set_capacity(std::int64_t tokens) {
    capacity_tokens_ = tokens;
    evict();
}

void prefix_cache::insert(const std::vector<prefix_part>& parts) {
    // Reverse order makes the first part the most recently used one: without it the others have no use.
    for (auto it = parts.rbegin(); it != parts.rend(); ++it) {
        const auto found = by_id_.find(it->id);
        if (found != by_id_.end()) {
            lru_.splice(lru_.begin(), lru_, found->second);
            continue;
        }
        lru_.push_front(*it);
        by_id_[it->id] = lru_.begin();
        used_tokens_ += it->tokens;
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
    lru_.clear();
    by_id_.clear();
    used_tokens_ = 0;
}

void prefix_cache::evict() {
    while (used_tokens_ > capacity_tokens_ && !lru_.empty()) {
        used_tokens_ -= lru_.back().tokens;
        by_id_.erase(lru_.back().id);
        lru_.pop_back();
    }
}

}  // namespace chicorygap::scheduling
