/// @file
/// Finds keys and routes of a service document.
#pragma once

#include "base/result_code.h"
#include "document/service_document.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chicorygap::document {

/// Result of a key lookup: `ok` with the workspace, `key_unknown` or `key_withdrawn`.
struct key_match {
    base::result_code code = base::result_code::key_unknown;
    const workspace* owner = nullptr;
};

/// Result of a route lookup: `ok` with the route, `route_unknown` or `method_not_allowed`.
struct route_match {
    base::result_code code = base::result_code::route_unknown;
    const route* match = nullptr;
};

/// Immutable index over one document; safe to share between threads. Results point into the document.
///
/// Usage: `lookup l{std::make_shared<const service_document>(d)}; l.find_key(digest, wall_now);`
class lookup {
public:
    /// @param d the document; must not be null.
    explicit lookup(std::shared_ptr<const service_document> d);

    /// @param digest digest of the key that the caller sent.
    /// @param now wall time, compared with the key's expiry.
    [[nodiscard]] key_match find_key(const base::key_digest& digest, base::wall_time now) const;

    /// Matches the longest path prefix that ends at a `/` boundary and allows the method.
    /// @param method HTTP method in upper case.
    /// @param path path of the request without query.
    [[nodiscard]] route_match find_route(std::string_view method, std::string_view path) const;

    [[nodiscard]] const service_document& document() const { return *document_; }

private:
    struct key_entry {
        const workspace* owner = nullptr;
        std::optional<base::wall_time> expires;
        bool revoked = false;
    };

    std::shared_ptr<const service_document> document_;
    std::unordered_map<base::key_digest, key_entry> keys_;
    std::vector<const route*> routes_;  // longest prefix first
};

/// @return true when the route admits the workspace.
bool admits(const route& r, const base::workspace_id& w);

/// @param r route that matches the path.
/// @return path to send to the backend server: `backend_path` in place of the prefix, when the route has one.
std::string forwarded_path(const route& r, std::string_view path);

}  // namespace chicorygap::document
