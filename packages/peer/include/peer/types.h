/// @file
/// Values that daemons exchange besides gossip.
#pragma once

#include "base/error.h"
#include "base/id.h"
#include "base/result_code.h"
#include "base/run_state.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chicorygap::peer {

/// Answer to a usage report.
struct usage_reply {
    /// False if the receiver does not hold the role.
    bool accepted = false;
    std::uint64_t term = 0;
};

/// Request for the permit to run a non-idempotent request.
struct claim_request {
    /// Hex digest that identifies the record.
    std::string record{};
    /// Hex digest of the request, to detect a key that is used for another one.
    std::string digest{};
};

/// Outcome of a request that was granted a permit.
struct outcome_report {
    /// Hex digest that identifies the record.
    std::string record{};
    std::uint16_t status = 0;
    std::string body{};
    /// False if the body was too long to be recorded.
    bool whole = true;
};

/// Answer to a claim.
struct claim_reply {
    enum class verdict : std::uint8_t {
        granted,      ///< the only permit; run the request
        recorded,     ///< was run before; `status` and `body` are its outcome
        unknown,      ///< was permitted before, its outcome is not known
        key_reused,   ///< the key belongs to another request
        not_owner,    ///< the receiver does not own the shard
        unavailable,  ///< the record cannot be written
    };

    verdict result = verdict::unavailable;
    base::run_state state = base::run_state::not_run;
    std::uint16_t status = 0;
    std::string body{};
};

/// Result of a call: a value, or the reason of its failure.
template <typename T>
struct outcome {
    std::optional<T> value{};
    base::result_code code = base::result_code::internal;
    std::string what{};
};

/// Receives the result of a call, exactly once, on the event-loop thread. It must not block.
template <typename T>
using completion = std::function<void(outcome<T>)>;

/// Result of calls that return nothing.
struct done {};

/// Bytes and messages of all connections since the start.
struct traffic {
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_received = 0;
};

/// Limits of a node.
struct node_options {
    /// IP address and port to listen on; port 0 selects a free one.
    std::string listen = "127.0.0.1:0";
    base::duration connect_timeout = std::chrono::milliseconds{500};
    /// Timeout of gossip, usage reports and status.
    base::duration call_timeout = std::chrono::seconds{1};
    /// Timeout of `distribute`.
    base::duration document_timeout = std::chrono::seconds{5};
    /// Timeout of `claim`, which waits for a write to the platform.
    base::duration claim_timeout = std::chrono::seconds{3};
    /// Connections without traffic are closed after this time.
    base::duration idle_timeout = std::chrono::seconds{90};
    /// Largest gossip message with its envelope.
    std::size_t gossip_bytes = 1200;
    /// Largest other message; documents have at most 1 MB.
    std::size_t message_bytes = 1100000;
    std::size_t max_connections = 512;
};

}  // namespace chicorygap::peer
