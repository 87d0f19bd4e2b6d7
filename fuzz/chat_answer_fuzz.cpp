#include "backend/read_some.h"
#include "chat_chunk.h"
#include "input.h"

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
    backend::parse_chat_answer(text);
    backend::parse_number(text);
    backend::header_value_valid(text);
    return 0;
}
