#include "event_splitter.h"

#include <utility>

namespace chicorygap::proxy {

namespace {

/// Largest event, with the comments before it. An event with several tokens has a few hundred bytes.
constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;
/// Comments and empty lines before the end of an event. A short comment has some 15 bytes, so that a server
/// may send one each second for half an hour.
constexpr std::size_t max_comment_bytes = std::size_t{32} * 1024;

}  // namespace

std::string event_splitter::feed(std::string_view bytes) {
    if (fault_ != event_fault::none) {
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
        const auto block = std::string_view{partial_}.substr(complete_bytes, end + 1 - complete_bytes);
        if (line.find('\r') != std::string_view::npos) {
            // Some readers end a line there, so that a caller would see other lines than the check.
            fault_ = event_fault::unknown_field;
            faulty_block_bytes_ = block.size();
        } else if (!end_line(line)) {
            continue;
        }
        if (fault_ != event_fault::none || !end_event(block)) {
            auto sound = partial_.substr(0, complete_bytes);
            drop_partial();
            return sound;
        }
        complete_bytes = end + 1;
    }
    scanned_ = partial_.size();
    std::string out = partial_.substr(0, complete_bytes);
    partial_.erase(0, complete_bytes);
    scanned_ -= complete_bytes;
    line_start_ -= complete_bytes;
    const bool in_comment = line_start_ < partial_.size() && partial_[line_start_] == ':';
    const auto comment_bytes = comment_bytes_ + (in_comment ? partial_.size() - line_start_ : 0);
    if (partial_.size() > max_event_bytes || comment_bytes > max_comment_bytes) {
        faulty_block_bytes_ = partial_.size();
        drop_partial();
        fault_ = event_fault::too_long;
    }
    return out;
}

bool event_splitter::end_line(std::string_view line) {
    if (line.empty()) {
        if (!std::exchange(has_field_, false)) {
            ++comment_bytes_;
            return false;
        }
        comment_bytes_ = 0;
        return true;
    }
    if (line.front() == ':') {
        comment_bytes_ += line.size() + 1;
    } else {
        has_field_ = true;
    }
    if (line.starts_with("id:")) {
        line.remove_prefix(3);
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        partial_id_ = std::string{line};
    }
    return false;
}

bool event_splitter::end_event(std::string_view block) {
    if (check_) {
        fault_ = check_(block, last_id_ ? last_id_ : begins_after_);
        if (fault_ != event_fault::none) {
            faulty_block_bytes_ = block.size();
            return false;
        }
    }
    ++event_count_;
    if (partial_id_) {
        last_id_ = std::exchange(partial_id_, std::nullopt);
    }
    return true;
}

std::string event_splitter::take_comments() {
    if (has_partial()) {
        return {};
    }
    scanned_ = 0;
    line_start_ = 0;
    comment_bytes_ = 0;
    return std::exchange(partial_, {});
}

void event_splitter::discard_partial() {
    drop_partial();
    fault_ = event_fault::none;
}

void event_splitter::drop_partial() {
    std::string{}.swap(partial_);
    scanned_ = 0;
    line_start_ = 0;
    has_field_ = false;
    comment_bytes_ = 0;
    partial_id_.reset();
}

}  // namespace chicorygap::proxy
