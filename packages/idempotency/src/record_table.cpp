#include "idempotency/record_table.h"

namespace chicorygap::idempotency {

void record_table::apply(const entry& e, std::uint64_t sequence) {
    if (e.body) {
        if (records_.try_emplace(e.id, record{*e.body, std::nullopt}).second) {
            by_segment_[sequence].push_back(e.id);
        }
        return;
    }
    const auto it = records_.find(e.id);
    if (it != records_.end()) {
        it->second.result = e.result;
    }
}

const record_table::record* record_table::find(const digest& id) const {
    const auto it = records_.find(id);
    return it == records_.end() ? nullptr : &it->second;
}

void record_table::expire(std::uint64_t sequence) {
    const auto it = by_segment_.find(sequence);
    if (it == by_segment_.end()) {
        return;
    }
    for (const auto& id : it->second) {
        records_.erase(id);
    }
    by_segment_.erase(it);
}

void record_table::clear() {
    records_.clear();
    by_segment_.clear();
}

}  // namespace chicorygap::idempotency
