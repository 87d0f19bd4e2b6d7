#include "chunk_format.h"
#include "front/refusal.h"
#include "input.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/TextConverter.h>
#include <Poco/UTF8Encoding.h>

#include <string_view>

namespace {

using namespace chicorygap;

/// @throws Poco::Exception, which fails the run, when the text is not a JSON object.
Poco::JSON::Object::Ptr object_of(const std::string& text) {
    return Poco::JSON::Parser{}.parse(text).extract<Poco::JSON::Object::Ptr>();
}

/// The texts of a stream come from parsed JSON, so that they are valid UTF-8.
std::string valid_utf8(const std::string& bytes) {
    const Poco::UTF8Encoding utf8;
    std::string out;
    Poco::TextConverter{utf8, utf8}.convert(bytes, out);
    return out;
}

void check_event(const std::string& event) {
    constexpr std::string_view field = "data: ";
    fuzz::check(event.starts_with(field) && event.ends_with("\n\n"), "an event has one data field");
    const auto body = event.substr(field.size(), event.size() - field.size() - 2);
    fuzz::check(body.find_first_of("\r\n") == std::string::npos, "text cannot start another event or field");
    object_of(body);
}

}  // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const auto bytes = fuzz::to_text(data, size);
    const auto text = valid_utf8(bytes);
    const front::chunk_format format{base::request_id{text}, text, base::wall_time{}};
    check_event(format.opening());
    check_event(format.token({text, "", 1}));
    const auto closing = format.closing(text, nullptr);
    constexpr std::string_view done = "data: [DONE]\n\n";
    fuzz::check(closing.ends_with(done), "a stream ends with the terminator");
    check_event(closing.substr(0, closing.size() - done.size()));
    object_of(front::models_json({text, text}));

    const auto problem = front::problem_json(
        {base::result_code::body_malformed, base::run_state::not_run, bytes, std::nullopt});
    fuzz::check(problem.find_first_of("\r\n") == std::string::npos, "problem details fit one event line");
    object_of(problem);
    return 0;
}
