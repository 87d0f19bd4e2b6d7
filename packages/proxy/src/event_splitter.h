/// @file
/// Splits a stream of server-sent events at their borders.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace chicorygap::proxy {

/// Splits a stream of server-sent events at their borders, so that a caller never gets part of an event whose
/// rest was lost.
class event_splitter {
public:
    /// @param bytes next part of the stream.
    /// @return the whole events that are complete now, as they came; may be empty.
    std::string feed(std::string_view bytes);

    /// @return id of the last whole event, if events have ids.
    [[nodiscard]] const std::optional<std::string>& last_id() const noexcept { return last_id_; }

    /// @return number of whole events.
    [[nodiscard]] std::uint64_t events() const noexcept { return events_; }

    /// @return true if part of an event was received.
    [[nodiscard]] bool has_partial() const noexcept { return !partial_.empty(); }

    /// A new source continues behind the last whole event; the partial one is dropped.
    void restart() { partial_.clear(); }

private:
    void note_event(std::string_view event);

    std::string partial_;
    std::optional<std::string> last_id_;
    std::uint64_t events_ = 0;
};

}  // namespace chicorygap::proxy
