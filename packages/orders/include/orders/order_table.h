/// @file
/// Local copy of the order records of a zone.
#pragma once

#include "base/store_message.h"
#include "orders/order_record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::orders {

/// Ring buffer of the order records of a zone, as last read or written. A record is stored in the object
/// `order/<zone>/<slot>`, where slot = sequence mod number of slots.
///
/// Sequences are consecutive. Two holders that create an order at the same time therefore write to the same
/// object, and one of them must read the order of the other before it can continue. This prevents a delayed
/// write of a former holder from creating a second order with the same deduplication key.
class order_table {
public:
    order_table(std::string zone, std::size_t slot_count);

    /// Replaces the content with the stored objects.
    /// @return false if the objects are invalid or changed during the read and must be read again.
    bool load(const std::vector<base::stored_object>& objects);

    /// @return the sequence of the next order, or `std::nullopt` while its slot contains an open order.
    [[nodiscard]] std::optional<std::uint64_t> next_sequence() const;

    /// @return the order with a deduplication key, or null.
    [[nodiscard]] const order_record* find(const std::string& deduplication_key) const;

    /// @return the order with a sequence, or null.
    [[nodiscard]] const order_record* at(std::uint64_t sequence) const;

    /// @return all orders in the ring buffer by sequence.
    [[nodiscard]] const std::map<std::uint64_t, order_record>& records() const noexcept { return records_; }

    /// Stores the local copy of a record that was written with this version.
    void put(const order_record& r, std::uint64_t version);

    /// @return the key of the object for a sequence.
    [[nodiscard]] std::string key(std::uint64_t sequence) const;

    /// @return the version that an update of the object for a sequence must expect; 0 if it must not exist.
    [[nodiscard]] std::uint64_t version(std::uint64_t sequence) const;

    /// @return "<zone>-<sequence>", the id that every transmission of the order carries.
    [[nodiscard]] std::string order_id(std::uint64_t sequence) const;

private:
    [[nodiscard]] bool is_contiguous() const;

    std::string zone_;
    std::size_t slot_count_;
    std::map<std::uint64_t, order_record> records_;
    std::map<std::uint64_t, std::uint64_t> versions_;  ///< by slot
};

}  // namespace chicorygap::orders
