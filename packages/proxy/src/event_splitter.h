/// @file
/// Splits a stream of server-sent events at event boundaries.
#pragma once

#include "proxy/event_check.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace chicorygap::proxy {

/// Splits a stream of server-sent events at event boundaries, so that a caller never receives an incomplete
/// event.
///
/// Concept: blocks without a field, such as comments, are no events: they are kept and returned together with
/// the next event. Every other block is given to a check, which tells whether it is the event that is due.
class event_splitter {
public:
    /// @param check takes every block with a field for an event if empty.
    explicit event_splitter(event_check check = {}) : check_{std::move(check)} {}

    /// Sets the event behind which the stream begins.
    /// @param id id of an event that the caller has received from an earlier stream.
    void begin_after(std::string id) { begins_after_ = std::move(id); }

    /// @param bytes next bytes of the stream.
    /// @return bytes of the events that are now complete, unchanged; may be empty.
    std::string feed(std::string_view bytes);

    /// @return why the bytes behind the last event are not the one that is due. Nothing of them is kept, and
    /// further bytes are ignored.
    [[nodiscard]] event_fault fault() const noexcept { return fault_; }

    /// @return size of the block that failed the check, in bytes.
    [[nodiscard]] std::size_t faulty_block_bytes() const noexcept { return faulty_block_bytes_; }

    /// @return kept blocks without a field at the end of the stream.
    std::string take_comments();

    /// @return last event id among the complete events, if any has one.
    [[nodiscard]] const std::optional<std::string>& last_id() const noexcept { return last_id_; }

    /// @return number of complete events.
    [[nodiscard]] std::uint64_t event_count() const noexcept { return event_count_; }

    /// @return true if the end of an event is still missing.
    [[nodiscard]] bool has_partial() const noexcept { return has_field_ || line_start_ < partial_.size(); }

    /// @return memory of the incomplete event.
    [[nodiscard]] std::size_t held_bytes() const noexcept { return partial_.capacity(); }

    /// Discards an incomplete event and a fault, so that another server can resume the stream after the last
    /// complete event.
    void discard_partial();

private:
    /// @param line a complete line without its end.
    /// @return true if the line ends an event.
    bool end_line(std::string_view line);

    /// Checks an event whose last line has been read.
    /// @param block its lines, with the comments before it.
    /// @return false if it is not the event that is due.
    bool end_event(std::string_view block);

    void drop_partial();

    event_check check_;
    std::optional<std::string> begins_after_;
    std::string partial_;
    std::size_t scanned_ = 0;        ///< bytes of `partial_` that contain no unprocessed line end
    std::size_t line_start_ = 0;     ///< start of the incomplete line in `partial_`
    bool has_field_ = false;         ///< the incomplete event has a field
    std::size_t comment_bytes_ = 0;  ///< complete comments and empty lines since the last event
    event_fault fault_ = event_fault::none;
    std::size_t faulty_block_bytes_ = 0;
    std::optional<std::string> partial_id_;  ///< id of the incomplete event
    std::optional<std::string> last_id_;
    std::uint64_t event_count_ = 0;
};

}  // namespace chicorygap::proxy
