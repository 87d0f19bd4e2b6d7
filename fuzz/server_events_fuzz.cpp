#include "chat_chunk.h"
#include "event_parser.h"
#include "input.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace {

using namespace chicorygap;

constexpr std::size_t event_limit = 1024;  // small enough for inputs to exceed it

/// Result of feeding the text in pieces; the events, or nothing when a limit was exceeded.
std::optional<std::vector<std::string>> events_of(std::string_view text, std::size_t piece) {
    backend::event_parser parser{event_limit};
    std::vector<std::string> out;
    while (!text.empty()) {
        const auto n = std::min(piece, text.size());
        const bool fits = parser.feed(text.substr(0, n), [&](const std::string& event) {
            out.push_back(event);
            return event != "[DONE]";
        });
        if (!fits) {
            return std::nullopt;
        }
        text.remove_prefix(n);
    }
    return out;
}

}  // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const auto text = fuzz::to_text(data, size);
    const auto events = events_of(text, std::max<std::size_t>(size, 1));
    fuzz::check(events == events_of(text, 1), "the events do not depend on how the bytes arrive");
    backend::chat_chunk_parser chunks;
    for (const auto& e : events.value_or(std::vector<std::string>{})) {
        fuzz::check(e.size() <= event_limit, "no event exceeds the limit");
        chunks.parse(e);
    }
    return 0;
}
