/// @file
/// Versioned objects with conditional update and watch.
#pragma once

#include "base/time.h"
#include "ports/object_store.h"

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
    [[nodiscard]] std::optional<ports::object> get(const std::string& key) const;

    /// Writes or deletes when the stored version equals `expected`; 0 means that the object must not exist.
    ports::put_result put(const std::string& key, const std::string& value, std::uint64_t expected);
    ports::put_result remove(const std::string& key, std::uint64_t expected);

    [[nodiscard]] std::vector<ports::object> list(const std::string& prefix) const;

    /// Waits for changes after version `after`.
    /// @return changed objects by version; empty after `timeout` or `cancel_watches`.
    std::vector<ports::object> watch(const std::string& prefix, std::uint64_t after, base::duration timeout);

    /// Ends all pending watches without a result.
    void cancel_watches();

private:
    ports::put_result replace(const std::string& key, ports::object next, std::uint64_t expected);
    [[nodiscard]] std::vector<ports::object> changes(const std::string& prefix, std::uint64_t after) const;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, ports::object> objects_;
    std::uint64_t version_ = 0;
    std::uint64_t cancellations_ = 0;
};

}  // namespace chicorygap::standin_platform
