/// @file
/// Routing configuration of one version.
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

/// Limits on the requests of callers.
struct caller_limits {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
    /// Time within which the request header must arrive.
    base::duration header_timeout = std::chrono::seconds{3};
    /// Time after which an idle connection is closed.
    base::duration idle_timeout = std::chrono::seconds{15};

    bool operator==(const caller_limits&) const = default;
};

/// Workspace that a request is accounted to.
struct workspace {
    base::workspace_id id;
    /// Overrides the tier of the route.
    std::optional<base::tier> tier;
};

/// One version of the operator's routing configuration. It is not changed after it has been applied.
///
/// Usage: `if (const auto* r = s.find_route(host, path)) { ... }`
class snapshot {
public:
    std::uint64_t version = 0;
    /// Hash of the document, which tells two of the same version apart.
    std::size_t content_hash = 0;
    caller_limits limits;
    /// Requests need an API key unless their route is anonymous.
    bool api_keys_required = false;

    /// Adds a route, or replaces the one with the same host and prefix.
    void add(route r);
    /// Adds a service, or replaces the one with the same id.
    void add(service s);
    /// Adds an API key of a workspace. A workspace may have several keys.
    void add_api_key(const std::string& api_key, workspace w);

    /// @return the route with the longest prefix of `path` among those of `host`, or null.
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;
    /// @return the service, or null.
    [[nodiscard]] const service* find_service(const base::service_id& id) const;
    /// @return the workspace that the API key belongs to, or null.
    [[nodiscard]] const workspace* find_workspace(const std::string& api_key) const;

    [[nodiscard]] const std::unordered_map<base::service_id, service>& services() const noexcept {
        return services_;
    }
    [[nodiscard]] std::size_t route_count() const noexcept { return route_count_; }

private:
    /// Indexed by host and prefix, so that a lookup needs at most one probe per path segment.
    std::unordered_map<std::string, std::unordered_map<std::string, route>> routes_;
    std::unordered_map<base::service_id, service> services_;
    std::unordered_map<std::string, workspace> workspaces_by_api_key_;
    std::size_t route_count_ = 0;
};

/// Selects the service of a request according to the weights of the route.
/// @param r route with at least one service.
/// @param sample random number, uniformly distributed from 0 to 1.
/// @return the selected service.
const base::service_id& select_service(const route& r, double sample);

}  // namespace chicorygap::catalog
