/// @file
/// Splits a stream of server-sent events at event boundaries.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace chicorygap::proxy {

/// Splits a stream of server-sent events at event boundaries, so that a caller never receives an incomplete
/// event.
class event_splitter {
public:
    /// @param bytes next bytes of the stream.
    /// @return bytes of the events that are now complete, unchanged; may be empty.
    std::string feed(std::string_view bytes);

    /// @return last event id among the complete events, if any has one.
    [[nodiscard]] const std::optional<std::string>& last_id() const noexcept { return last_id_; }

    /// @return number of complete events.
    [[nodiscard]] std::uint64_t event_count() const noexcept { return event_count_; }

    /// @return true if the end of an event is still missing.
    [[nodiscard]] bool has_partial() const noexcept { return !partial_.empty(); }

    /// Discards an incomplete event, so that another server can resume the stream after the last complete
    /// one.
    void discard_partial() { partial_.clear(); }

private:
    void record_event(std::string_view event);

    std::string partial_;
    std::optional<std::string> last_id_;
    std::uint64_t event_count_ = 0;
};

}  // namespace chicorygap::proxy
