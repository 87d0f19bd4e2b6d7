#include "standin_platform/order_book.h"

#include <algorithm>
#include <utility>

namespace chicorygap::standin_platform {

order_book::order_book(bool ignore_tokens, std::function<void(const ports::order&)> apply)
    : ignore_tokens_{ignore_tokens}, apply_{std::move(apply)} {}

ports::order_reply order_book::submit(const ports::order& o) {
    const std::lock_guard lock{mutex_};
    auto& newest = newest_tokens_[o.zone.str()];
    auto& record = records_.try_emplace(o.id, order_record{o, 0, 0, 0}).first->second;
    const bool stale = o.fencing_token < newest;
    newest = std::max(newest, o.fencing_token);
    ++record.received;
    record.stale += stale ? 1 : 0;
    if (stale && !ignore_tokens_) {
        return {false, record.applied > 0, newest};
    }
    if (record.applied > 0) {
        return {true, true, newest};
    }
    ++record.applied;
    apply_(o);
    return {true, false, newest};
}

std::vector<order_record> order_book::records() const {
    const std::lock_guard lock{mutex_};
    std::vector<order_record> out;
    for (const auto& [id, record] : records_) {
        out.push_back(record);
    }
    return out;
}

}  // namespace chicorygap::standin_platform
