/// @file
/// Model of a service document. docs/service-document.md describes every key.
#pragma once

#include "base/id.h"
#include "base/tier.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicorygap::document {

/// Prefix of the objects in which the platform stores documents, followed by the service's name.
inline constexpr std::string_view object_prefix = "document/";

enum class service_kind { model, plain };

/// A language model offered by a service of kind `model`.
struct model {
    std::string name;
    std::uint32_t context_tokens = 0;
    std::uint32_t max_output_tokens = 0;

    bool operator==(const model&) const = default;
};

/// A class of requests with its tier and targets.
struct service_class {
    base::class_id id;
    base::tier tier;
    base::duration first_token_target{};               ///< for plain services: until the complete response.
    std::optional<base::duration> inter_token_target;  ///< absent for plain services.
    double attainment_target = 0;                      ///< share of requests that meet the targets, 0 to 1.
    base::duration deadline{};                         ///< longest time in the queue.
    std::uint32_t queue_length = 0;                    ///< per daemon.
    double floor = 0;                                  ///< share of starts, 0 to 1.
    base::duration floor_wait{};                       ///< waiting time after which the floor applies.

    bool operator==(const service_class&) const = default;
};

/// Limits of one workspace over the whole fleet. An absent limit does not apply.
struct limits {
    std::optional<double> requests_per_second;
    std::optional<double> tokens_per_second;
    std::optional<std::uint32_t> concurrency;

    bool operator==(const limits&) const = default;
};

/// A caller's key, known by its digest only.
struct workspace_key {
    base::key_digest digest;
    std::optional<base::wall_time> expires;

    bool operator==(const workspace_key&) const = default;
};

/// A tenant of the service.
struct workspace {
    base::workspace_id id;
    double weight = 1;
    std::vector<workspace_key> keys;
    std::vector<base::key_digest> revoked_keys;  ///< refused as withdrawn rather than unknown.
    document::limits limits;

    bool operator==(const workspace&) const = default;
};

/// Maps a path prefix and methods to a class.
struct route {
    std::string name;
    std::string path_prefix;
    std::string backend_path;  ///< replaces the prefix when forwarding; empty to forward the path unchanged.
    std::vector<std::string> methods;
    base::class_id class_id;
    bool open_to_all = true;
    std::vector<base::workspace_id> workspaces;  ///< admitted workspaces when `open_to_all` is false.
    bool repeatable = true;                      ///< false for non-idempotent calls.
    bool idempotency_key_required = false;

    bool operator==(const route&) const = default;
};

/// Retries as a share of recent requests.
struct retry_budget {
    double share = 0;
    double overload_share = 0;

    bool operator==(const retry_budget&) const = default;
};

/// Timeouts of calls to backend servers.
struct timeouts {
    base::duration connect{};
    base::duration first_byte{};
    base::duration token_gap{};
    base::duration idle{};

    bool operator==(const timeouts&) const = default;
};

/// Number of servers of a kind that may run in a zone.
struct zone_range {
    base::zone_id zone;
    std::uint32_t minimum = 0;
    std::uint32_t maximum = 0;

    bool operator==(const zone_range&) const = default;
};

/// A kind of backend server that can be requested.
struct server_kind {
    std::string name;
    double price = 0;          ///< per server and hour.
    bool reclaimable = false;  ///< cheap, but may be taken away at a few seconds' notice.
    std::uint32_t slots = 0;   ///< requests that one server runs at a time.
    std::vector<zone_range> zones;

    bool operator==(const server_kind&) const = default;
};

/// Everything that operators configure about one service.
struct service_document {
    base::service_id name;
    service_kind kind = service_kind::model;
    std::vector<model> models;
    std::vector<service_class> classes;
    std::vector<workspace> workspaces;
    std::vector<route> routes;
    document::retry_budget retry_budget;
    document::timeouts timeouts;
    base::duration isolated_key_lifetime{};  ///< validity of known keys while isolated.
    base::duration once_retention{};         ///< retention of at-most-once records.
    std::vector<server_kind> server_kinds;

    bool operator==(const service_document&) const = default;
};

/// @return the class or workspace, or null.
const service_class* find_class(const service_document& d, const base::class_id& id);
const workspace* find_workspace(const service_document& d, const base::workspace_id& id);

}  // namespace chicorygap::document
