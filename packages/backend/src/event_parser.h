/// @file
/// Parser of server-sent events.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace chicorygap::backend {

/// Splits a byte stream into the data of server-sent events. Comments and fields other than `data` are
/// skipped.
class event_parser {
public:
    /// Returns false to end parsing.
    using data_handler = std::function<bool(const std::string& data)>;

    /// @param limit largest line and event in bytes.
    explicit event_parser(std::size_t limit) : limit_{limit} {}

    /// Passes each complete event to the handler.
    /// @return false if a line or an event exceeds the limit, or a line is no part of an event.
    bool feed(std::string_view bytes, const data_handler& handler);

private:
    bool line(std::string_view text, const data_handler& handler);

    std::size_t limit_;
    std::string line_;
    std::string data_;
    bool has_data_ = false;
    bool done_ = false;
};

}  // namespace chicorygap::backend
