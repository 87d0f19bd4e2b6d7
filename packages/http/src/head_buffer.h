/// @file
/// Fields of a head that is not complete.
#pragma once

#include "heap_bytes.h"
#include "http/message.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chicorygap::http {

/// Fields of a head that is not complete, in one text.
///
/// Concept: a list with two strings for each field takes 64 bytes for a line of 4. A head may stay unfinished
/// for seconds, so its names and values are kept one behind the other, with their lengths, until it is whole.
///
/// Usage: `append_name` and `append_value` with the pieces as they arrive, then `take_fields`.
class head_buffer {
public:
    /// Appends to the name of the current field. Begins the next field if the current one has a value.
    void append_name(std::string_view part);
    /// Appends to the value of the current field; empty parts count as a value.
    void append_value(std::string_view part);

    /// @return true if the last part belongs to a value.
    [[nodiscard]] bool in_value() const noexcept { return in_value_; }

    /// @return false if a name holds a blank: other readers take "Length : 5" for a length.
    [[nodiscard]] bool names_are_valid() const noexcept { return names_are_valid_; }

    /// @return the fields, which are removed from the buffer.
    header_list take_fields();

    /// Removes all fields and gives up the memory.
    void clear();

    /// @return memory of the buffer in bytes.
    [[nodiscard]] std::size_t memory_bytes() const noexcept {
        return heap_bytes(text_) + fields_.capacity() * sizeof(lengths);
    }

private:
    struct lengths {
        std::uint32_t name = 0;
        std::uint32_t value = 0;
    };

    std::string text_;
    std::vector<lengths> fields_;
    bool in_value_ = false;
    bool names_are_valid_ = true;
};

}  // namespace chicorygap::http
