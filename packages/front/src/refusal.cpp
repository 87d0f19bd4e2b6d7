#include "front/refusal.h"

#include <Poco/JSONString.h>
#include <Poco/TextConverter.h>
#include <Poco/UTF8Encoding.h>

#include <sstream>

namespace chicorygap::front {

namespace {

/// A detail may repeat single bytes of a malformed body; JSON admits only valid UTF-8.
std::string quoted(std::string_view text) {
    const Poco::UTF8Encoding utf8;
    std::string valid;
    Poco::TextConverter{utf8, utf8}.convert(std::string{text}, valid);
    return Poco::toJSON(valid, Poco::JSON_WRAP_STRINGS);
}

}  // namespace

std::string problem_json(const refusal& r) {
    const auto number = static_cast<int>(r.code);
    const auto name = quoted(base::to_string(r.code));
    const auto detail = quoted(r.detail);
    std::ostringstream out;
    out << R"({"type":"about:blank","title":)" << name << R"(,"status":)" << base::http_status(r.code)
        << R"(,"code":)" << number << R"(,"name":)" << name << R"(,"run_state":")" << base::to_string(r.state)
        << R"(","detail":)" << detail;
    // Chat client libraries raise an exception only if an `error` object is present.
    out << R"(,"error":{"message":)" << detail << R"(,"type":)" << name << R"(,"code":)" << number << "}}";
    return out.str();
}

}  // namespace chicorygap::front
