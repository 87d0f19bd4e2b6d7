#include "event_splitter.h"

#include <utility>

namespace chicorygap::proxy {

namespace {

/// Largest event, with the comments before it. An event with several tokens has a few hundred bytes.
constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;

}  // namespace

std::string event_splitter::feed(std::string_view bytes) {
    if (event_too_long_) {
        return {};
    }
    partial_.append(bytes);
    std::size_t complete_bytes = 0;
    for (auto end = partial_.find('\n', scanned_); end != std::string::npos;
         end = partial_.find('\n', scanned_)) {
        std::string_view line{partial_};
        line = line.substr(line_start_, end - line_start_);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        line_start_ = end + 1;
        scanned_ = end + 1;
        if (end_line(line)) {
            complete_bytes = end + 1;
        }
    }
    scanned_ = partial_.size();
    std::string out = partial_.substr(0, complete_bytes);
    partial_.erase(0, complete_bytes);
    scanned_ -= complete_bytes;
    line_start_ -= complete_bytes;
    if (partial_.size() > max_event_bytes) {
        discard_partial();
        event_too_long_ = true;
    }
    return out;
}

bool event_splitter::end_line(std::string_view line) {
    if (line.empty()) {
        if (!std::exchange(has_field_, false)) {
            return false;
        }
        ++event_count_;
        if (partial_id_) {
            last_id_ = std::exchange(partial_id_, std::nullopt);
        }
        return true;
    }
    has_field_ = has_field_ || line.front() != ':';
    if (line.starts_with("id:")) {
        line.remove_prefix(3);
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        partial_id_ = std::string{line};
    }
    return false;
}

std::string event_splitter::take_comments() {
    if (has_partial()) {
        return {};
    }
    scanned_ = 0;
    line_start_ = 0;
    return std::exchange(partial_, {});
}

void event_splitter::discard_partial() {
    std::string{}.swap(partial_);
    scanned_ = 0;
    line_start_ = 0;
    has_field_ = false;
    event_too_long_ = false;
    partial_id_.reset();
}

}  // namespace chicorygap::proxy
