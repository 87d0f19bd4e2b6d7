/// @file
/// Intent objects of a zone as last read or written.
#pragma once

#include "base/store_message.h"
#include "orders/order_record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::orders {

/// Orders of a zone in a ring of slots `order/<zone>/<slot>`, slot = sequence mod number of slots.
///
/// Concept: sequences are dense, so two holders that create an order at the same time compete for the same
/// object and one of them has to read the other's order before it can go on. This is what keeps a delayed
/// write of a former holder from becoming a second order for the same need.
class order_table {
public:
    order_table(std::string zone, std::size_t slot_count);

    /// Replaces the content by the stored objects.
    /// @return false if they are damaged or were read while they changed; read them again.
    bool load(const std::vector<base::stored_object>& objects);

    /// @return the sequence of the next order, or nothing while its slot holds an open order.
    [[nodiscard]] std::optional<std::uint64_t> next_sequence() const;

    /// @return the order of a need, or null.
    [[nodiscard]] const order_record* find(const std::string& deduplication_key) const;

    /// @return the order with a sequence, or null.
    [[nodiscard]] const order_record* at(std::uint64_t sequence) const;

    /// @return all orders in the ring by sequence.
    [[nodiscard]] const std::map<std::uint64_t, order_record>& records() const noexcept { return records_; }

    /// Takes over a record that was written.
    void put(const order_record& r, std::uint64_t version);

    /// @return key of the object for a sequence.
    [[nodiscard]] std::string key(std::uint64_t sequence) const;

    /// @return version that an update of the sequence's object has to name.
    [[nodiscard]] std::uint64_t version(std::uint64_t sequence) const;

    /// @return "<zone>-<sequence>", the id that the receiver sees on every repetition.
    [[nodiscard]] std::string order_id(std::uint64_t sequence) const;

private:
    [[nodiscard]] bool dense() const;

    std::string zone_;
    std::size_t slot_count_;
    std::map<std::uint64_t, order_record> records_;
    std::map<std::uint64_t, std::uint64_t> versions_;  ///< by slot
};

}  // namespace chicorygap::orders
