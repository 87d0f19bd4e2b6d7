/// @file
/// Messages between decision code and the adapter that executes calls to the Object API.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::base {

/// Object as read from the Object API.
struct stored_object {
    std::string key;
    std::string value;
    std::uint64_t version = 0;

    bool operator==(const stored_object&) const = default;
};

/// Action: conditional update. `expected` 0 means that the object must not exist.
struct store_put {
    std::uint64_t correlation = 0;
    std::string key;
    std::string value;
    std::uint64_t expected = 0;
};

/// Action: read of one object.
struct store_get {
    std::uint64_t correlation = 0;
    std::string key;
};

/// Action: read of all objects whose key starts with `prefix`.
struct store_list {
    std::uint64_t correlation = 0;
    std::string prefix;
};

/// Result of a call to the Object API.
enum class store_result {
    applied,   ///< the update took effect
    conflict,  ///< the expected version is not the current one
    read,      ///< a get or list succeeded
    refused,   ///< the call certainly had no effect
    lost,      ///< no reply; an update may take effect now or later
};

/// Event: reply to the action with the same correlation number.
struct store_reply {
    std::uint64_t correlation = 0;
    store_result result = store_result::lost;
    std::uint64_t version = 0;             ///< new version after `applied`
    std::optional<stored_object> current;  ///< current object after `conflict` or a get; empty if absent
    std::vector<stored_object> objects;    ///< result of a list
};

}  // namespace chicorygap::base
