/// @file
/// Orders and the stored records of them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace chicorygap::orders {

/// What an order asks for.
enum class order_kind {
    request_servers,  ///< platform: `count` backend servers of kind `argument` for `service`
    release_server,   ///< platform: release `server` after its running requests have finished
    load_model,       ///< engine `server`: load model `argument`
    load_adapter,     ///< engine `server`: load adapter `argument`
    set_version,      ///< engine `server`: switch to version `argument`
    change_role,      ///< engine `server`: take role `argument`
};

/// Content of an order.
struct order_content {
    order_kind kind = order_kind::request_servers;
    std::string service;
    std::string server;
    std::string argument;
    std::uint32_t count = 0;
    bool reclaimable = false;     ///< request reclaimable servers
    bool receiver_fences = true;  ///< the receiver rejects stale fencing tokens

    bool operator==(const order_content&) const = default;
};

/// Status of an order.
enum class order_status { open, accepted, rejected };

/// Content of the object `order/<zone>/<slot>`.
struct order_record {
    std::uint64_t sequence = 0;  ///< consecutive within a zone; zone and sequence form the order id
    /// Identifies what the order is for. At most one order exists for each key.
    std::string deduplication_key;
    order_content content;
    std::uint64_t term = 0;  ///< term of the holder that created it
    order_status status = order_status::open;
    std::string token;  ///< unique per write
};

/// @return the record as JSON.
std::string encode(const order_record& r);

/// @return the record, or `std::nullopt` if `text` is not a valid order record.
std::optional<order_record> decode_order(const std::string& text);

}  // namespace chicorygap::orders
