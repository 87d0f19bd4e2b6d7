#include "orders/order_table.h"

#include <algorithm>
#include <utility>

namespace chicorygap::orders {

order_table::order_table(std::string zone, std::size_t slot_count)
    : zone_{std::move(zone)}, slot_count_{slot_count} {}

bool order_table::load(const std::vector<base::stored_object>& objects) {
    records_.clear();
    versions_.clear();
    for (const auto& o : objects) {
        auto r = decode_order(o.value);
        if (!r || o.key != key(r->sequence)) {
            return false;
        }
        versions_[r->sequence % slot_count_] = o.version;
        records_.emplace(r->sequence, std::move(*r));
    }
    return is_contiguous();
}

bool order_table::is_contiguous() const {
    if (records_.empty()) {
        return true;
    }
    const auto last = records_.rbegin()->first;
    const auto expected = std::min<std::uint64_t>(last, slot_count_);
    return records_.size() == expected && records_.begin()->first == last - expected + 1;
}

std::optional<std::uint64_t> order_table::next_sequence() const {
    const auto next = records_.empty() ? 1 : records_.rbegin()->first + 1;
    if (next <= slot_count_) {
        return next;
    }
    const auto* replaced = at(next - slot_count_);
    const bool open = replaced != nullptr && replaced->status == order_status::open;
    return open ? std::nullopt : std::optional{next};
}

const order_record* order_table::find(const std::string& deduplication_key) const {
    const auto it = std::find_if(records_.begin(), records_.end(), [&](const auto& r) {
        return r.second.deduplication_key == deduplication_key;
    });
    return it == records_.end() ? nullptr : &it->second;
}

const order_record* order_table::at(std::uint64_t sequence) const {
    const auto it = records_.find(sequence);
    return it == records_.end() ? nullptr : &it->second;
}

void order_table::put(const order_record& r, std::uint64_t version) {
    if (r.sequence > slot_count_) {
        records_.erase(r.sequence - slot_count_);
    }
    records_[r.sequence] = r;
    versions_[r.sequence % slot_count_] = version;
}

std::string order_table::key(std::uint64_t sequence) const {
    return "order/" + zone_ + '/' + std::to_string(sequence % slot_count_);
}

std::uint64_t order_table::version(std::uint64_t sequence) const {
    const auto it = versions_.find(sequence % slot_count_);
    return it == versions_.end() ? 0 : it->second;
}

std::string order_table::order_id(std::uint64_t sequence) const {
    return zone_ + '-' + std::to_string(sequence);
}

}  // namespace chicorygap::orders
