#include "standin_platform/object_table.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace chicorygap::standin_platform {

using ports::object;
using ports::put_result;

std::optional<object> object_table::get(const std::string& key) const {
    const std::lock_guard lock{mutex_};
    const auto it = objects_.find(key);
    if (it == objects_.end() || it->second.deleted) {
        return std::nullopt;
    }
    return it->second;
}

put_result object_table::put(const std::string& key, const std::string& value, std::uint64_t expected) {
    return replace(key, {key, value, 0, false}, expected);
}

put_result object_table::remove(const std::string& key, std::uint64_t expected) {
    return replace(key, {key, "", 0, true}, expected);
}

put_result object_table::replace(const std::string& key, object next, std::uint64_t expected) {
    const std::lock_guard lock{mutex_};
    const auto it = objects_.find(key);
    const bool exists = it != objects_.end() && !it->second.deleted;
    const std::uint64_t stored = exists ? it->second.version : 0;
    const bool deletes_nothing = next.deleted && !exists;
    if (stored != expected || deletes_nothing) {
        return {false, 0, exists ? std::optional{it->second} : std::nullopt};
    }
    next.version = ++version_;
    objects_[key] = std::move(next);
    changed_.notify_all();
    return {true, version_, std::nullopt};
}

std::vector<object> object_table::list(const std::string& prefix) const {
    const std::lock_guard lock{mutex_};
    std::vector<object> out;
    for (auto it = objects_.lower_bound(prefix); it != objects_.end(); ++it) {
        if (!it->first.starts_with(prefix)) {
            break;
        }
        if (!it->second.deleted) {
            out.push_back(it->second);
        }
    }
    return out;
}

std::vector<object> object_table::changes(const std::string& prefix, std::uint64_t after) const {
    std::vector<object> out;
    for (auto it = objects_.lower_bound(prefix); it != objects_.end(); ++it) {
        if (!it->first.starts_with(prefix)) {
            break;
        }
        if (it->second.version > after) {
            out.push_back(it->second);
        }
    }
    std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.version < b.version; });
    return out;
}

std::vector<object> object_table::watch(const std::string& prefix, std::uint64_t after,
                                        base::duration timeout) {
    std::unique_lock lock{mutex_};
    const auto before = cancellations_;
    std::vector<object> out;
    changed_.wait_for(lock, timeout, [&] {
        out = changes(prefix, after);
        return !out.empty() || cancellations_ != before;
    });
    return out;
}

void object_table::cancel_watches() {
    const std::lock_guard lock{mutex_};
    ++cancellations_;
    changed_.notify_all();
}

}  // namespace chicorygap::standin_platform
