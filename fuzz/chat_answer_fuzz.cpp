#include "backend/read_some.h"
#include "chat_chunk.h"
#include "input.h"

#include <Poco/JSON/Parser.h>

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace chicorygap;
    const auto text = fuzz::to_text(data, size);
    backend::chat_chunk_parser used;
    used.parse(text);
    const auto repeated = used.parse(text);
    const auto first = backend::chat_chunk_parser{}.parse(text);
    fuzz::check(repeated.has_value() == first.has_value(), "a parser can be used again after any input");
    if (first) {
        fuzz::check(repeated->text == first->text && repeated->delta_json == first->delta_json &&
                        repeated->finish_reason == first->finish_reason && repeated->usage == first->usage,
                    "an earlier chunk does not change the next one");
    }
    if (first && !first->delta_json.empty()) {
        // The router sends the delta to its caller as part of one event.
        fuzz::check(first->delta_json.find_first_of("\r\n") == std::string::npos, "a delta fits one line");
        Poco::JSON::Parser{}.parse(first->delta_json);
    }
    backend::parse_chat_answer(text);
    backend::parse_number(text);
    backend::header_value_valid(text);
    return 0;
}
