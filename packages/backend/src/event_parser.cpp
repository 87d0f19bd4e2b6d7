#include "event_parser.h"

#include <algorithm>
#include <array>

namespace chicorygap::backend {

namespace {

/// Names of the lines of an event that hold no data; comments have an empty one.
constexpr std::array<std::string_view, 5> other_fields{"", "event", "id", "retry", "data"};

}  // namespace

bool event_parser::feed(std::string_view bytes, const data_handler& handler) {
    while (!done_ && !bytes.empty()) {
        const auto end = bytes.find('\n');
        line_.append(bytes.substr(0, end));
        if (line_.size() > limit_) {
            return false;
        }
        if (end == std::string_view::npos) {
            return true;
        }
        bytes.remove_prefix(end + 1);
        if (!line_.empty() && line_.back() == '\r') {
            line_.pop_back();
        }
        if (!line(line_, handler)) {
            return false;
        }
        line_.clear();
    }
    return true;
}

bool event_parser::line(std::string_view text, const data_handler& handler) {
    constexpr std::string_view field = "data:";
    if (text.empty()) {
        if (has_data_) {
            done_ = !handler(data_);
        }
        has_data_ = false;
        data_.clear();
        return true;
    }
    if (!text.starts_with(field)) {
        const auto name = text.substr(0, text.find(':'));
        return std::find(other_fields.begin(), other_fields.end(), name) != other_fields.end();
    }
    text.remove_prefix(field.size());
    if (text.starts_with(' ')) {
        text.remove_prefix(1);
    }
    if (has_data_) {
        data_ += '\n';
    }
    data_ += text;
    has_data_ = true;
    return data_.size() <= limit_;
}

}  // namespace chicorygap::backend
