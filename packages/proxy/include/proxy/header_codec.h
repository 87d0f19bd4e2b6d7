/// @file
/// Meaning of header fields towards callers and backend servers.
#pragma once

#include "base/id.h"
#include "base/tier.h"
#include "base/time.h"
#include "http/message.h"
#include "net/address.h"
#include "scheduling/scheduled_request.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace chicorygap::proxy {

/// What a caller's request head says.
struct request_metadata {
    base::request_id id;
    std::string host;
    /// Time that the caller waits from now on.
    std::optional<base::duration> timeout;
    /// The caller's key; empty if there is none or if several differ.
    std::string key;
    /// Present if the head describes a generation.
    std::optional<scheduling::generation_requirements> generation;
    /// The caller has the events of an earlier stream up to this one.
    std::optional<std::string> last_event_id;
};

/// What a request to a server says besides the caller's own fields.
struct server_request_metadata {
    /// The server refuses the request if it is another one.
    base::backend_server_id server;
    /// Empty on anonymous routes.
    base::workspace_id workspace;
    base::duration remaining_time{};
    /// Rank among the requests of a service: the tier of the workspace, then that of the route; 0 goes first.
    std::uint8_t urgency = 0;
    /// The server continues behind this event.
    std::optional<std::string> last_event_id;
    std::size_t body_bytes = 0;
    /// Server from which parts of the prompt may be copied.
    std::optional<net::address> copy_from;
};

/// What a server's answer says.
struct response_metadata {
    /// Request that it answers; empty if it does not say.
    std::string request_id;
    /// The server did not run the request and never will.
    bool not_run = false;
    /// The address belongs to another server now.
    bool wrong_server = false;
    /// Requests that waited at the server when it answered, if it says so.
    std::optional<std::uint32_t> queue_length;
};

/// Reads and writes heads in the header fields of one deployment.
class header_codec {
public:
    virtual ~header_codec() = default;

    [[nodiscard]] virtual request_metadata decode(const http::request_head& head) const = 0;
    /// @return head of the request to a server: the caller's fields, without those that only this system may
    /// set, and those of `terms`.
    [[nodiscard]] virtual http::request_head encode_server_request(
        const http::request_head& head, const server_request_metadata& metadata) const = 0;
    [[nodiscard]] virtual response_metadata decode(const http::response_head& head) const = 0;
    /// @return the head of a failure of our own.
    /// @param retry_after present if the request has not run and may come back.
    [[nodiscard]] virtual http::response_head error_response(
        int status, const base::request_id& id, std::optional<base::duration> retry_after) const = 0;
};

}  // namespace chicorygap::proxy
