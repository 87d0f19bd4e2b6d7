/// @file
/// The platform's versioned object store.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::ports {

/// One version of an object. Versions of the whole store increase with every change.
struct object {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;  ///< only in results of `watch`.

    bool operator==(const object&) const = default;
};

/// Result of a conditional update.
struct put_result {
    bool applied = false;
    std::uint64_t version = 0;      ///< new version when applied.
    std::optional<object> current;  ///< on a conflict the stored object; absent when there is none.
};

/// Object API. Every call throws `base::error` with `platform_unavailable` when it had no effect, and a write
/// with `platform_reply_lost` when it may have taken effect.
class object_store {
public:
    virtual ~object_store() = default;

    /// @return the object, or nothing when it does not exist.
    virtual std::optional<object> get(const std::string& key, base::duration timeout) = 0;
    /// Writes the value when the stored version equals `expected`.
    /// @param expected version seen before; 0 means that the object must not exist.
    virtual put_result put(const std::string& key, const std::string& value, std::uint64_t expected,
                           base::duration timeout) = 0;
    /// Deletes the object when the stored version equals `expected`; `version` of the result is the
    /// deletion's.
    virtual put_result remove(const std::string& key, std::uint64_t expected, base::duration timeout) = 0;
    /// @return all objects whose key begins with `prefix`, by key.
    virtual std::vector<object> list(const std::string& prefix, base::duration timeout) = 0;
    /// Waits for changes.
    /// @param after version of the store already seen.
    /// @param timeout longest wait; without a change the result is empty.
    /// @return latest version of each object changed after `after`, by version; deleted ones are marked.
    virtual std::vector<object> watch(const std::string& prefix, std::uint64_t after,
                                      base::duration timeout) = 0;
};

}  // namespace chicorygap::ports
