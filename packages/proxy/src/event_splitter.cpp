#include "event_splitter.h"

#include <utility>

namespace chicorygap::proxy {

namespace {

/// @return position after the empty line that ends the first event of `text`, or npos.
std::size_t event_end(std::string_view text) {
    for (auto at = text.find('\n'); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        auto next = at + 1;
        if (next < text.size() && text[next] == '\r') {
            ++next;
        }
        if (next < text.size() && text[next] == '\n') {
            return next + 1;
        }
    }
    return std::string_view::npos;
}

}  // namespace

std::string event_splitter::feed(std::string_view bytes) {
    partial_.append(bytes);
    std::size_t complete_bytes = 0;
    std::string_view rest = partial_;
    for (auto end = event_end(rest); end != std::string_view::npos; end = event_end(rest)) {
        record_event(rest.substr(0, end));
        rest.remove_prefix(end);
        complete_bytes += end;
    }
    std::string out = partial_.substr(0, complete_bytes);
    partial_.erase(0, complete_bytes);
    return out;
}

void event_splitter::record_event(std::string_view event) {
    ++event_count_;
    while (!event.empty()) {
        const auto end = event.find('\n');
        auto line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (line.starts_with("id:")) {
            line.remove_prefix(3);
            if (line.starts_with(' ')) {
                line.remove_prefix(1);
            }
            last_id_ = std::string{line};
        }
    }
}

}  // namespace chicorygap::proxy
