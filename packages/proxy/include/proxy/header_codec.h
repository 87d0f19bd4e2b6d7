/// @file
/// Conversion between HTTP header fields and request and response metadata.
#pragma once

#include "backpressure/server_signals.h"
#include "base/id.h"
#include "base/tier.h"
#include "base/time.h"
#include "http/message.h"
#include "net/address.h"
#include "scheduling/scheduled_request.h"
#include "scheduling/server_report.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace chicorygap::proxy {

/// Metadata from the head of a caller's request.
struct request_metadata {
    base::request_id id;
    std::string host;
    /// Time from receipt of the request for which the caller waits.
    std::optional<base::duration> timeout;
    /// API key of the caller; empty if the request has none or several different ones.
    std::string key;
    /// Present if the head describes a generation.
    std::optional<scheduling::generation_requirements> generation;
    /// Id of the last event that the caller received from an earlier stream.
    std::optional<std::string> last_event_id;
};

/// Metadata that the router adds to a request to a backend server.
struct server_request_metadata {
    /// Intended server; any other server rejects the request.
    base::backend_server_id server;
    /// Empty on anonymous routes.
    base::workspace_id workspace;
    base::duration remaining_time{};
    /// Rank among the requests of a service, by the tier of the workspace and then by the tier of the route;
    /// 0 is the highest priority.
    std::uint8_t priority_rank = 0;
    /// Id of the event after which the server resumes the stream.
    std::optional<std::string> last_event_id;
    std::size_t body_bytes = 0;
    /// Server from which the KV cache of prompt parts may be transferred.
    std::optional<net::address> kv_transfer_source;
};

/// Metadata from the head of a server's response.
struct response_metadata {
    /// Id of the request that the response belongs to; empty if the response has none.
    std::string request_id;
    /// The response bears the server's signature.
    bool signed_by_server = false;
    /// The server has not run the request and will not run it.
    bool not_run = false;
    /// The address now belongs to another server.
    bool wrong_server = false;
    /// Requests queued at the server when it sent the response, if it reports them.
    std::optional<std::uint32_t> queue_length;
    /// What the server reports of its load, if it does so with plausible figures.
    std::optional<scheduling::server_report> load;
    /// The response has a report of the load that cannot be used.
    bool invalid_load = false;
    /// What the server says of itself. Without the status 421 it concerns the server that was addressed.
    backpressure::server_signals signals;
};

/// Decodes and encodes request and response heads with the header fields of one deployment.
class header_codec {
public:
    virtual ~header_codec() = default;

    /// @param head head of a caller's request.
    [[nodiscard]] virtual request_metadata decode(const http::request_head& head) const = 0;
    /// @param head head of the caller's request.
    /// @param metadata values to add.
    /// @return head of the request to the server: the caller's fields except those that only the router may
    /// set, and the fields of `metadata`.
    [[nodiscard]] virtual http::request_head encode_server_request(
        const http::request_head& head, const server_request_metadata& metadata) const = 0;
    /// @param head head of a server's response.
    [[nodiscard]] virtual response_metadata decode(const http::response_head& head) const = 0;
    /// @param status HTTP status.
    /// @param id id of the caller's request.
    /// @param retry_after delay before the caller should retry; present only if the request was not run.
    /// @return head of an error response that the router itself generates.
    [[nodiscard]] virtual http::response_head error_response(
        int status, const base::request_id& id, std::optional<base::duration> retry_after) const = 0;
};

}  // namespace chicorygap::proxy
