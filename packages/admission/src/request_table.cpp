#include "request_table.h"

#include <utility>

namespace chicorygap::admission {

request_index request_table::insert(request r) {
    request_index i = 0;
    if (free_.empty()) {
        i = static_cast<request_index>(slab_.size());
        slab_.emplace_back();
    } else {
        i = free_.back();
        free_.pop_back();
    }
    by_id_.emplace(r.id, i);
    slab_[i] = std::move(r);
    return i;
}

void request_table::erase(request_index i) {
    by_id_.erase(slab_[i].id);
    slab_[i] = request{};
    free_.push_back(i);
}

request_index request_table::find(const base::request_id& id) const {
    const auto it = by_id_.find(id);
    return it == by_id_.end() ? no_request : it->second;
}

}  // namespace chicorygap::admission
