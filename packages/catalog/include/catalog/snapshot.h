/// @file
/// One version of the operator's configuration.
#pragma once

#include "base/id.h"
#include "base/tier.h"
#include "base/time.h"
#include "catalog/route.h"
#include "catalog/service.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chicorygap::catalog {

/// What callers may send.
struct caller_limits {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
    base::duration header_timeout = std::chrono::seconds{3};
    base::duration idle_timeout = std::chrono::seconds{15};

    bool operator==(const caller_limits&) const = default;
};

struct workspace {
    base::workspace_id id;
    /// Takes precedence over the tier of the route.
    std::optional<base::tier> tier;
};

/// One version of the operator's configuration, immutable once it is in force.
///
/// Usage: `if (const auto* r = s.find_route(host, path)) { ... }`
class snapshot {
public:
    std::uint64_t version = 0;
    caller_limits limits;
    /// Requests carry a key unless their route is anonymous.
    bool api_keys_required = false;

    void add(route r);
    void add(service s);
    /// @param key a caller's key; several keys may name the same workspace.
    void add_api_key(const std::string& key, workspace w);

    /// @return the route with the longest prefix of `path` among those of `host`, or null.
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;
    /// @return the service, or null.
    [[nodiscard]] const service* find_service(const base::service_id& id) const;
    /// @return the workspace that holds the key, or null.
    [[nodiscard]] const workspace* find_workspace(const std::string& key) const;

    [[nodiscard]] const std::unordered_map<base::service_id, service>& services() const noexcept {
        return services_;
    }
    [[nodiscard]] std::size_t route_count() const noexcept { return route_count_; }

private:
    /// By host and prefix, so that a look-up costs one probe for each part of the path.
    std::unordered_map<std::string, std::unordered_map<std::string, route>> routes_;
    std::unordered_map<base::service_id, service> services_;
    std::unordered_map<std::string, workspace> keys_;
    std::size_t route_count_ = 0;
};

/// @param r a route.
/// @param point number from 0 to 1 that is uniform over requests.
/// @return the service that a request goes to.
const base::service_id& select_service(const route& r, double point);

}  // namespace chicorygap::catalog
