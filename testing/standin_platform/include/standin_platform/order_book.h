/// @file
/// Received orders with fencing.
#pragma once

#include "ports/order_service.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace chicorygap::standin_platform {

/// What was received under one order id.
struct order_record {
    ports::order first;
    std::uint64_t received = 0;  ///< times that the id was received.
    std::uint64_t applied = 0;   ///< times that it took effect; more than 1 never happens.
    std::uint64_t stale = 0;     ///< times that it came with a token older than the newest of its zone.
};

/// Accepts orders once per id and rejects those of an earlier role holder.
class order_book {
public:
    /// @param ignore_tokens accept stale fencing tokens too, as some engines do.
    /// @param apply carries out an accepted order.
    order_book(bool ignore_tokens, std::function<void(const ports::order&)> apply);

    ports::order_reply submit(const ports::order& o);

    /// @return everything received, by order id.
    [[nodiscard]] std::vector<order_record> records() const;

private:
    const bool ignore_tokens_;
    const std::function<void(const ports::order&)> apply_;
    mutable std::mutex mutex_;
    std::map<std::string, order_record> records_;
    std::map<std::string, std::uint64_t> newest_tokens_;  // by zone
};

}  // namespace chicorygap::standin_platform
