/// @file
/// Splits a stream of server-sent events at event boundaries.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace chicorygap::proxy {

/// Splits a stream of server-sent events at event boundaries, so that a caller never receives an incomplete
/// event.
///
/// Concept: every byte is examined once. Blocks without a field, such as comments, are no events: they are
/// kept and returned together with the next event.
class event_splitter {
public:
    /// @param bytes next bytes of the stream.
    /// @return bytes of the events that are now complete, unchanged; may be empty.
    std::string feed(std::string_view bytes);

    /// @return true once the bytes before the end of an event exceeded the limit. Nothing is kept then.
    [[nodiscard]] bool event_too_long() const noexcept { return event_too_long_; }

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

    /// Discards an incomplete event, so that another server can resume the stream after the last complete
    /// one.
    void discard_partial();

private:
    /// @param line a complete line without its end.
    /// @return true if the line ends an event.
    bool end_line(std::string_view line);

    std::string partial_;
    std::size_t scanned_ = 0;     ///< bytes of `partial_` that contain no unprocessed line end
    std::size_t line_start_ = 0;  ///< start of the incomplete line in `partial_`
    bool has_field_ = false;      ///< the incomplete event has a field
    bool event_too_long_ = false;
    std::optional<std::string> partial_id_;  ///< id of the incomplete event
    std::optional<std::string> last_id_;
    std::uint64_t event_count_ = 0;
};

}  // namespace chicorygap::proxy
