/// @file
/// Typed string identifiers.
#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace chicorygap::base {

/// String identifier whose type says what it names, so that a zone cannot be passed as a workspace.
///
/// Usage: `workspace_id w{"north"}; w.str();`
template <typename Tag>
class id {
public:
    id() = default;
    explicit id(std::string value) : value_{std::move(value)} {}

    /// @return the identifier as text.
    [[nodiscard]] const std::string& str() const noexcept { return value_; }
    [[nodiscard]] bool empty() const noexcept { return value_.empty(); }

    // clang-tidy 14 mistakes the 0 in the rewritten comparison for a null pointer.
    auto operator<=>(const id&) const = default;  // NOLINT(modernize-use-nullptr)
    bool operator==(const id&) const = default;

    friend std::ostream& operator<<(std::ostream& os, const id& v) { return os << v.value_; }

private:
    std::string value_;
};

using service_id = id<struct service_tag>;
using class_id = id<struct class_tag>;
using workspace_id = id<struct workspace_tag>;
using backend_server_id = id<struct backend_server_tag>;
using vm_id = id<struct vm_tag>;
using zone_id = id<struct zone_tag>;
using request_id = id<struct request_tag>;

/// Hex SHA-256 digest of a caller's key. The key itself is never stored.
using key_digest = id<struct key_digest_tag>;

}  // namespace chicorygap::base

template <typename Tag>
struct std::hash<chicorygap::base::id<Tag>> {
    std::size_t operator()(const chicorygap::base::id<Tag>& v) const noexcept {
        return std::hash<std::string>{}(v.str());
    }
};
