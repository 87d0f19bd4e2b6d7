/// @file
/// Versioned objects with conditional update and watch.
#pragma once

#include "base/time.h"
#include "platform/object_store.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::standin_platform {

/// Store of objects. One counter numbers the versions of all objects, so that a watcher needs only the newest
/// version that it has seen. Deleted objects stay as marked entries, so that watchers learn of the deletion.
class object_table {
public:
    [[nodiscard]] std::optional<platform::object> get(const std::string& key) const;

    /// Writes or deletes when the stored version equals `expected`; 0 means that the object must not exist.
    platform::put_result put(const std::string& key, const std::string& value, std::uint64_t expected);
    platform::put_result remove(const std::string& key, std::uint64_t expected);

    [[nodiscard]] std::vector<platform::object> list(const std::string& prefix) const;

    /// Waits for changes after version `after`.
    /// @return changed objects by version; empty after `timeout` or `cancel_watches`.
    std::vector<platform::object> watch(const std::string& prefix, std::uint64_t after,
                                        base::duration timeout);

    /// Ends all pending watches without a result.
    void cancel_watches();

private:
    platform::put_result replace(const std::string& key, platform::object next, std::uint64_t expected);
    [[nodiscard]] std::vector<platform::object> changes(const std::string& prefix, std::uint64_t after) const;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, platform::object> objects_;
    std::uint64_t version_ = 0;
    std::uint64_t cancellations_ = 0;
};

}  // namespace chicorygap::standin_platform
