#include "chat_body.h"
#include "input.h"

#include <Poco/JSON/Parser.h>

#include <algorithm>

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace chicorygap;
    constexpr std::size_t depth = 32;
    const auto result = front::parse_chat_body(fuzz::to_text(data, size), depth);
    if (const auto* r = std::get_if<front::refusal>(&result)) {
        fuzz::check(r->code == base::result_code::body_malformed, "a refused body has code body_malformed");
        // Throws, which fails the run, when the refusal cannot be sent as JSON.
        Poco::JSON::Parser{}.parse(front::problem_json(*r));
    } else {
        const auto& call = std::get<front::chat_call>(result);
        fuzz::check(std::find(data, data + size, 0xff) == data + size, "nothing follows an accepted body");
        fuzz::check(!call.model.empty(), "an accepted body names a model");
        fuzz::check(call.max_tokens != 0U, "an accepted token limit is positive");
    }
    return 0;
}
